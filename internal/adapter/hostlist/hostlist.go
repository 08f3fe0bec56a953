// Package hostlist reads the platform's host list over HTTP.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// timeout bounds one read of the list.
const timeout = 3 * time.Second

// maxBytes bounds the list: 3,200 hosts take about 1 MB.
const maxBytes = 16 << 20

// Client reads the host list.
type Client struct {
	url    string
	client *http.Client
}

// New returns a client for the host list at baseURL.
func New(baseURL string) *Client {
	return &Client{url: baseURL + "/v1/hosts", client: &http.Client{Timeout: timeout}}
}

type entry struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
}

// Hosts implements port.HostList.
func (c *Client) Hosts(ctx context.Context) ([]port.Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("host list: status %d", res.StatusCode)
	}
	var list struct {
		Hosts []entry `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	hosts := make([]port.Host, 0, len(list.Hosts))
	for _, e := range list.Hosts {
		hosts = append(hosts, e.host())
	}
	return hosts, nil
}

func (e entry) host() port.Host {
	return port.Host{
		ID:            ident.HostID(e.ID),
		Location:      ident.Location{Region: ident.Region(e.Region), Zone: ident.Zone(e.Zone)},
		CallerAddress: e.CallerAddress,
		AdminAddress:  e.AdminAddress,
		PeerAddress:   e.PeerAddress,
		Leaving:       e.State == "leaving",
	}
}
