//go:build linux

package systemtest

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// sendToHost sends what a host with an HTTP server has to end by itself: nothing, heads without an end,
// and bodies that stop short of their end or are never sent. The shape depends on i.
func sendToHost(w io.Writer, i int, paths ...string) error {
	path := paths[i/5%len(paths)]
	switch i % 5 {
	case 0:
		return nil
	case 1:
		if err := sendAll(w, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n", path)); err != nil {
			return err
		}
		return sendFields(w, 900<<10)
	case 2:
		return sendAll(w, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nshort", path))
	case 3:
		if err := sendAll(w, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, overLimitBody)); err != nil {
			return err
		}
		return sendRepeated(w, "unread", overLimitBody)
	default:
		return sendAll(w, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort", path))
	}
}

// checkReady requires that the readiness check and the resolution of addresses are answered while the
// clients keep their connections open.
func (c *clientGroup) checkReady(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(t, "the readiness check is answered", func() bool {
		return platformtest.IsReady(t.Context(), client, c.host.Ready)
	})
	waitFor(t, "addresses are resolved", func() bool {
		_, err := platformtest.Resolve(t.Context(), client, c.host.Resolve, "r", platformZone)
		return err == nil
	})
}

// TestClientsAtReadinessAddress guards against a host whose readiness and resolution addresses are taken by
// clients for good, so that the platform counts it as not ready and callers do not find it.
func TestClientsAtReadinessAddress(t *testing.T) {
	c := newClientGroup(t)
	for shape := range 10 {
		for _, address := range []string{c.host.Ready, c.host.Resolve} {
			keepClients(t, 5, address, func(conn net.Conn) {
				if sendToHost(conn, shape, "/api/ready", "/none") == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
		}
	}
	time.Sleep(settleTime)
	c.checkReady(t)
	c.check(t)
}

// adminAddress is the address of the administration interface and the metrics.
func (c *clientGroup) adminAddress() string { return fmt.Sprintf("127.0.0.1:%d", c.host.AdminPort) }

// checkMetrics requires that the metrics are served.
func (c *clientGroup) checkMetrics(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(t, "the metrics are served", func() bool {
		res, err := client.Get("http://" + c.adminAddress() + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err == nil && res.StatusCode == http.StatusOK
	})
}

// TestClientsAtAdminAddress guards against a host whose memory or descriptors are exceeded by clients of its
// administration interface.
func TestClientsAtAdminAddress(t *testing.T) {
	c := newClientGroup(t)
	for i := range 700 {
		c.clientOf(c.adminAddress(), func(w io.Writer) error {
			return sendToHost(w, i, "/v1/timeline", "/metrics", "/v1/document")
		})
	}
	c.running.Wait()
	c.checkMetrics(t)
	c.check(t)
}

// TestClientsThatDoNotReadAdminResponses guards against a host whose memory is exceeded by responses of its
// administration interface that are made whole and not read.
func TestClientsThatDoNotReadAdminResponses(t *testing.T) {
	c := newClientGroup(t)
	for i := range 300 {
		path := []string{"/metrics", "/v1/timeline", "/v1/status"}[i%3]
		c.clientOf(c.adminAddress(), func(w io.Writer) error {
			return sendRepeated(w, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path), 64<<10)
		})
	}
	c.running.Wait()
	c.checkMetrics(t)
	c.check(t)
}

// peerFrameBytes is just under the largest message that the server for other hosts takes by default.
const peerFrameBytes = 4<<20 - 1

// peerFrame returns the head of a frame that starts a call between hosts and declares peerFrameBytes.
func peerFrame() string {
	const done, invoke = 1, 1 << 1
	frame := []byte{done | invoke, 1, 1}
	return string(binary.AppendUvarint(frame, peerFrameBytes))
}

// TestClientsAtPeerAddress guards against a host whose memory or descriptors are exceeded by connections to
// its address for other hosts that send nothing, or messages that stop short of their end.
func TestClientsAtPeerAddress(t *testing.T) {
	c := newClientGroup(t)
	for i := range 700 {
		c.clientOf(c.host.Peer, func(w io.Writer) error {
			if i%10 != 0 {
				return nil
			}
			if err := sendAll(w, peerFrame()); err != nil {
				return err
			}
			return sendRepeated(w, "part", peerFrameBytes-1)
		})
	}
	c.check(t)
}

// TestClientsThatValidateDocuments guards against a host whose memory is exceeded by documents that clients have
// its administration interface validate: parsing takes many times their size.
func TestClientsThatValidateDocuments(t *testing.T) {
	c := newClientGroup(t)
	document := strings.Repeat("- {a: [b, c]}\n", 1<<20/14)
	for range 40 {
		c.clientOf(c.adminAddress(), func(w io.Writer) error {
			return sendAll(w, fmt.Sprintf("POST /v1/document?validate=true HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(document), document))
		})
	}
	c.running.Wait()
	time.Sleep(2 * settleTime)
	c.checkMetrics(t)
	c.check(t)
}
