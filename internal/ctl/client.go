package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// requestTimeout limits one request to a host. Applying a document takes up to
// adminapi.ApplyTimeout, after a read from the log service.
const requestTimeout = adminapi.ApplyTimeout + 20*time.Second

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

var httpClient = &http.Client{Timeout: requestTimeout}

// call sends a request and decodes the JSON response body into out, regardless of
// the status.
func call(ctx context.Context, method, url, token string, body io.Reader, out any) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return res.StatusCode, errors.Wrap(err, url)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return res.StatusCode, errors.Errorf("%s: status %d: %s", url, res.StatusCode, strings.TrimSpace(string(data)))
	}
	return res.StatusCode, nil
}

// getJSON fetches a resource. It returns an error for any status other than 200.
func getJSON(ctx context.Context, url string, out any) error {
	status, err := call(ctx, http.MethodGet, url, "", nil, out)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Errorf("%s: status %d", url, status)
	}
	return nil
}
