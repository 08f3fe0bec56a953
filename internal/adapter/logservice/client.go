// Package logservice implements an HTTP client for the platform's log service.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Config configures a client.
type Config struct {
	// URL is the base URL, such as http://10.0.0.5:7000; required.
	URL string
	// DialTimeout limits the time to establish a connection and that of the TLS
	// handshake; default 2s.
	DialTimeout time.Duration
	// RequestTimeout limits the duration of a request, excluding the time that a
	// read waits for new records; default 10s.
	RequestTimeout time.Duration
	// MaxAppendBytes limits the size of a record; default 257 KiB.
	MaxAppendBytes int
	// MaxResponseBytes limits the size of a response; default 32 MiB, which fits
	// 64 records of 256 KiB in base64.
	MaxResponseBytes int64
}

// DefaultConfig returns the default configuration for a URL.
func DefaultConfig(url string) Config {
	return Config{
		URL:              url,
		DialTimeout:      2 * time.Second,
		RequestTimeout:   10 * time.Second,
		MaxAppendBytes:   revision.MaxLogRecordBytes + 1<<10,
		MaxResponseBytes: 32 << 20,
	}
}

// Client implements port.Log.
type Client struct {
	cfg          Config
	base         string
	appendClient *http.Client
	readClient   *http.Client
}

var _ port.Log = (*Client)(nil)

// New returns a client. It fails if cfg.URL is not an http or https URL.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, errors.Wrap(err, "log service URL")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("log service URL: %q is not an http or https URL", cfg.URL)
	}
	// http.Transport retries some requests when a reused connection fails, which
	// could append a record twice. Appends therefore disable keep-alive, so that
	// no connection is reused.
	return &Client{
		cfg:          cfg,
		base:         strings.TrimSuffix(u.String(), "/"),
		appendClient: newHTTPClient(cfg, true),
		readClient:   newHTTPClient(cfg, false),
	}, nil
}

func newHTTPClient(cfg Config, disableKeepAlives bool) *http.Client {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableKeepAlives:   disableKeepAlives,
			MaxIdleConns:        2,
			IdleConnTimeout:     30 * time.Second,
			TLSHandshakeTimeout: cfg.DialTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Append implements port.Log.
func (c *Client) Append(ctx context.Context, data []byte) (int64, error) {
	if len(data) > c.cfg.MaxAppendBytes {
		return 0, notAppended(errors.Errorf("record has %d bytes, the limit is %d", len(data), c.cfg.MaxAppendBytes))
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The type of the body keeps net/http from rewinding it and retrying the
	// request.
	body := struct{ io.Reader }{strings.NewReader(string(data))}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+"/v1/log/append", body)
	if err != nil {
		return 0, notAppended(err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.appendClient.Do(req)
	if err != nil && !connected.Load() {
		return 0, notAppended(err)
	}
	if err != nil {
		return 0, &port.AppendUnknownError{Cause: err}
	}
	defer resp.Body.Close()
	return c.parseAppendResponse(resp)
}

func (c *Client) parseAppendResponse(resp *http.Response) (int64, error) {
	if isRejected(resp.StatusCode) {
		return 0, notAppended(errors.Errorf("status %d", resp.StatusCode))
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return 0, &port.AppendUnknownError{Cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	var response struct {
		Offset *int64 `json:"offset"`
	}
	if err := c.decode(resp, &response); err != nil {
		return 0, &port.AppendUnknownError{Cause: err}
	}
	if response.Offset == nil || *response.Offset < 0 {
		return 0, &port.AppendUnknownError{Cause: errors.New("offset: missing or negative")}
	}
	return *response.Offset, nil
}

// isRejected reports whether a status means that the service did not append the
// record. 408 (request timeout) and the 5xx statuses don't: an intermediary can
// return a 5xx status after forwarding the request.
func isRejected(status int) bool {
	return status >= 400 && status <= 499 && status != http.StatusRequestTimeout
}

// notAppended returns the error for a record that was not appended, whether the
// service is unavailable or rejected the record.
func notAppended(cause error) error { return &port.LogUnavailableError{Cause: cause} }

type recordsResponse struct {
	First   *int64       `json:"first"`
	Next    *int64       `json:"next"`
	Records []recordJSON `json:"records"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Read implements port.Log.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout+wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/log/records?"+query.Encode(), nil)
	if err != nil {
		return port.Batch{}, &port.LogUnavailableError{Cause: err}
	}
	resp, err := c.readClient.Do(req)
	if err != nil {
		return port.Batch{}, &port.LogUnavailableError{Cause: err}
	}
	defer resp.Body.Close()
	var response recordsResponse
	if resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	} else {
		err = c.decode(resp, &response)
	}
	if err != nil {
		return port.Batch{}, &port.LogUnavailableError{Cause: err}
	}
	return response.toBatch(from, limit)
}

func (c *Client) decode(resp *http.Response, v any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.cfg.MaxResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "response")
	}
	if int64(len(body)) > c.cfg.MaxResponseBytes {
		return errors.Errorf("response: more than %d bytes", c.cfg.MaxResponseBytes)
	}
	return errors.Wrap(json.Unmarshal(body, v), "response")
}

// toBatch converts the response. It checks that the records have consecutive
// offsets from the requested one on, which the configuration state relies on.
func (response *recordsResponse) toBatch(from int64, limit int) (port.Batch, error) {
	invalid := func(format string, args ...any) (port.Batch, error) {
		return port.Batch{}, &port.LogUnavailableError{Cause: fmt.Errorf("response: "+format, args...)}
	}
	if response.First == nil || response.Next == nil || *response.First < 0 {
		return invalid("first or next is missing or negative")
	}
	if from < *response.First {
		return port.Batch{}, &port.TruncatedError{Offset: from, FirstOffset: *response.First}
	}
	if len(response.Records) > limit {
		return invalid("%d records, the limit is %d", len(response.Records), limit)
	}
	b := port.Batch{FirstOffset: *response.First, NextOffset: *response.Next}
	for i, r := range response.Records {
		if r.Offset != from+int64(i) {
			return invalid("records[%d].offset: %d, want %d", i, r.Offset, from+int64(i))
		}
		b.Records = append(b.Records, revision.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS).UTC(), Data: r.Data})
	}
	return b, nil
}
