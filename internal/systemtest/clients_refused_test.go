//go:build linux

package systemtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

const (
	// denseMemoryMb and denseMaxFds have the ratio of the smallest hosts of the deployments, 184 MB to 4,100
	// descriptors: a client finds less memory behind each connection than with clientsMaxFds.
	denseMemoryMb = 96
	denseMaxFds   = 2140
	// overLimitBody is the length of bodies far over the limit.
	overLimitBody = 8 * clientsMaxBody
	// endlessBody is a length that no client sends.
	endlessBody = 1 << 40
)

// announce sends the head of an upload of a declared length.
func announce(w io.Writer, path string, length int, fields string) error {
	return sendAll(w, head(path, fmt.Sprintf("Content-Length: %d\r\n%s\r\n", length, fields)))
}

// sendChunks sends the head of an upload and count bytes of its body in chunks of 64 KiB, without the end.
func sendChunks(w io.Writer, path string, count int) error {
	const chunk = 64 << 10
	if err := sendAll(w, head(path, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk))
	for range count / chunk {
		if err := sendAll(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendRefusedBody sends bodies over the limit, announced or just sent, and bodies that stop short of their
// end. The shape depends on i.
func sendRefusedBody(w io.Writer, i int) error {
	path := []string{"/crowd/1", "/upload/1"}[i/6%2]
	switch i % 6 {
	case 0:
		if err := announce(w, path, overLimitBody, ""); err != nil {
			return err
		}
		return sendRepeated(w, "over", overLimitBody)
	case 1:
		return announce(w, path, endlessBody, "")
	case 2:
		return sendChunks(w, path, overLimitBody)
	case 3:
		if err := announce(w, path, overLimitBody, "Expect: 100-continue\r\n"); err != nil {
			return err
		}
		return sendRepeated(w, "sent without the permission", overLimitBody)
	case 4:
		if err := announce(w, path, clientsMaxBody, ""); err != nil {
			return err
		}
		return sendRepeated(w, "short", clientsMaxBody-1)
	default:
		// The path has no route, so the body is refused unread.
		if err := announce(w, "/none/1", clientsMaxBody, ""); err != nil {
			return err
		}
		return sendRepeated(w, "unread", clientsMaxBody)
	}
}

// checkRefusalIsRead requires that a client that sends all of a body over the limit before it reads gets
// the refusal. A reset right after the response would take it away.
func (c *clientGroup) checkRefusalIsRead(t *testing.T) {
	t.Helper()
	waitFor(t, "a client reads that its body is over the limit", func() bool {
		conn, err := net.DialTimeout("tcp", c.host.Caller, clientWriteTime)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(callerTimeout))
		if err := announce(conn, "/upload/1", 2*clientsMaxBody, ""); err != nil {
			return false
		}
		// The host does not take all of it.
		_ = sendRepeated(conn, "over", 2*clientsMaxBody)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("the refusal was not read: %v", err)
			return true
		}
		defer res.Body.Close()
		// The host may refuse the connection with 503 while it is at a limit.
		return res.StatusCode == http.StatusRequestEntityTooLarge
	})
}

// TestClientsWithBodiesOverLimit guards against a host whose memory is exceeded by bodies far over the
// limit, announced or just sent, beside bodies that stop short of their end, all on open connections, and
// by what it and the kernel hold of bodies after they were refused.
func TestClientsWithBodiesOverLimit(t *testing.T) {
	for _, limits := range []struct {
		name             string
		memoryMb, maxFds int
		clients          int
	}{{"few connections", clientsMemoryMb, clientsMaxFds, 160}, {"many connections", denseMemoryMb, denseMaxFds, 900}} {
		t.Run(limits.name, func(t *testing.T) {
			c := newLimitedGroup(t, limits.memoryMb, limits.maxFds)
			result := c.watchTotal(t, c.target.Listener.Addr())
			for i := range limits.clients {
				c.client(func(w io.Writer) error { return sendRefusedBody(w, i) })
			}
			c.running.Wait()
			c.checkRefusalIsRead(t)
			c.checkTotal(t, result)
		})
	}
}

// TestClientsWithRepeatedRefusals guards against a host whose memory or connections are exceeded by clients
// that open a new connection for the next body over the limit as soon as they can, and leave the earlier ones
// open.
func TestClientsWithRepeatedRefusals(t *testing.T) {
	c := newLimitedGroup(t, denseMemoryMb, denseMaxFds)
	result := c.watchTotal(t, c.target.Listener.Addr())
	const refusals = 12
	for i := range 100 {
		c.running.Go(func() {
			for range refusals {
				conn, err := c.connect(c.host.Caller)
				if err != nil {
					return
				}
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				_ = sendRefusedBody(conn, []int{0, 1, 3, 5}[i%4])
			}
		})
	}
	c.running.Wait()
	c.checkRefusalIsRead(t)
	c.checkTotal(t, result)
}

// TestClientsWithAllShapes guards against a host that survives each kind of client by itself and not all of
// them at once.
func TestClientsWithAllShapes(t *testing.T) {
	c := newLimitedGroup(t, denseMemoryMb, denseMaxFds)
	result := c.watchTotal(t, c.target.Listener.Addr())
	for i := range 900 {
		c.client(func(w io.Writer) error {
			switch i % 9 {
			case 0, 1, 2:
				return sendRefusedBody(w, i/9)
			case 3:
				if err := sendAll(w, head("/lookup/1", "")); err != nil {
					return err
				}
				return sendFields(w, 15<<10)
			case 4:
				return sendRepeated(w, head("/crowd/large", "Content-Length: 0\r\n\r\n"), 256<<10)
			case 5:
				return sendAll(w, head("/crowd/streamed", "Content-Length: 0\r\n\r\n"))
			case 6:
				if err := sendAll(w, head("/crowd/hold", "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
					return err
				}
				return sendRepeated(w, "1\r\na\r\n", 6<<20)
			case 7:
				return sendUpload(w, "/upload/hold", make([]byte, stalledUploadBytes))
			default:
				return nil
			}
		})
	}
	c.checkTotal(t, result)
}

// TestClientsWhileLimitFalls guards against a host that fails when the largest size of a body falls while
// bodies arrive.
func TestClientsWhileLimitFalls(t *testing.T) {
	c := newClientGroup(t)
	result := c.watchTotal(t, c.target.Listener.Addr())
	fallen := make(chan struct{})
	for i := range 60 {
		c.client(func(w io.Writer) error {
			if i%2 == 0 {
				if err := sendChunks(w, "/upload/1", clientsMaxBody/2); err != nil {
					return err
				}
				<-fallen
				return sendRepeated(w, "10000\r\n"+strings.Repeat("a", 64<<10)+"\r\n", clientsMaxBody)
			}
			if err := announce(w, "/upload/1", clientsMaxBody, ""); err != nil {
				return err
			}
			if err := sendRepeated(w, "half", clientsMaxBody/2); err != nil {
				return err
			}
			<-fallen
			return sendRepeated(w, "rest", clientsMaxBody/2-i%4/2)
		})
	}
	time.Sleep(settleTime)
	c.store.SetLimits(platformtest.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second})
	c.store.PutConfiguration(3, 5*time.Second, groupRoutes(time.Minute)...)
	c.awaitStatus(t, "/upload/1", 2<<20, http.StatusRequestEntityTooLarge)
	close(fallen)
	c.checkTotal(t, result)
}

// awaitStatus sends bodies of a length until one is answered with a status.
func (c *clientGroup) awaitStatus(t *testing.T, path string, length, status int) {
	t.Helper()
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(t, fmt.Sprintf("a body of %d bytes gets %d", length, status), func() bool {
		req, err := http.NewRequest(http.MethodPost, "http://"+c.host.Caller+path, strings.NewReader(strings.Repeat("a", length)))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = platformtest.RouteHost
		req.Header.Set(platform.Dialect().RequestID, "ordinary")
		res, err := client.Do(req)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == status
	})
}
