// Package hostlist implements an HTTP client for the platform's host list.
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

// requestTimeout limits the duration of a request for the list.
const requestTimeout = 3 * time.Second

// maxResponseBytes limits the size of the response. A list of 3,200 hosts takes
// about 1 MB.
const maxResponseBytes = 16 << 20

// Client reads the host list.
type Client struct {
	url    string
	client *http.Client
}

// New returns a client for the host list at baseURL.
func New(baseURL string) *Client {
	return &Client{url: baseURL + "/v1/hosts", client: &http.Client{Timeout: requestTimeout}}
}

type hostJSON struct {
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
	var response struct {
		Hosts []hostJSON `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&response); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	hosts := make([]port.Host, 0, len(response.Hosts))
	for _, e := range response.Hosts {
		hosts = append(hosts, e.toHost())
	}
	return hosts, nil
}

func (e hostJSON) toHost() port.Host {
	return port.Host{
		ID:            ident.HostID(e.ID),
		Location:      ident.Location{Region: ident.Region(e.Region), Zone: ident.Zone(e.Zone)},
		CallerAddress: e.CallerAddress,
		AdminAddress:  e.AdminAddress,
		PeerAddress:   e.PeerAddress,
		Leaving:       e.State == "leaving",
	}
}
