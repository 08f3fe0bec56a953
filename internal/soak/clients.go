package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// sampleInterval is the time between two samples of what hosts use.
const sampleInterval = 50 * time.Millisecond

// untrustedGroups lists the numbers of untrusted clients of the variants of the event and what they send. No
// request of theirs is ever complete.
var untrustedGroups = [variants]struct {
	clients int
	send    func(conn net.Conn)
}{
	{30, sendLargeBody}, {60, sendTinyChunks}, {200, sendEndlessHead}, {400, func(net.Conn) {}},
}

// connectUntrusted opens the connections of untrusted clients to a host and closes them at the end of the event.
func (s *system) connectUntrusted(ctx context.Context, h *host, e event) {
	ctx, cancel := context.WithTimeout(ctx, e.lasting)
	defer cancel()
	var clients sync.WaitGroup
	c := untrustedGroups[e.choice%variants]
	for range c.clients {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", h.settings.Caller, dialTimeout)
			if err != nil {
				return
			}
			defer conn.Close()
			end, _ := ctx.Deadline()
			_ = conn.SetDeadline(end)
			c.send(conn)
			<-ctx.Done()
		})
	}
	clients.Wait()
}

// untrustedHead returns the head of an upload with a valid key, without its last line.
func untrustedHead(fields string) string {
	d := platform.Dialect()
	return fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\n%s: untrusted\r\n%s: Bearer %s\r\n%s", uploadPath, platformtest.RouteHost, d.RequestID, d.Authorization, keyOf(teams[0].Name, 0), fields)
}

// sendLargeBody sends all of a body but its last byte.
func sendLargeBody(conn net.Conn) {
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", untrustedHead(""), hostMaxBody)
	sendRepeated(conn, "part", (hostMaxBody-1)/len("part"), err)
}

// sendTinyChunks sends a body in chunks of one byte and never ends it.
func sendTinyChunks(conn net.Conn) {
	_, err := fmt.Fprint(conn, untrustedHead("Transfer-Encoding: chunked\r\n\r\n"))
	sendRepeated(conn, "1\r\na\r\n", 1<<20, err)
}

// sendEndlessHead sends fields of a head and never ends it.
func sendEndlessHead(conn net.Conn) {
	_, err := fmt.Fprint(conn, untrustedHead(""))
	sendRepeated(conn, "a:\r\n", 16<<10, err)
}

// sendRepeated writes a text count times, or until a write fails. It writes nothing if the write before it
// failed with err.
func sendRepeated(conn net.Conn, text string, count int, err error) {
	const block = 4 << 10
	for ; count > 0 && err == nil; count -= block {
		_, err = fmt.Fprint(conn, strings.Repeat(text, min(count, block)))
	}
}

// sampleUsage records what the hosts use until the context ends.
func (s *system) sampleUsage(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range s.hosts {
			s.recorder.addUsage(h.index, h.usage())
		}
		pause(ctx, sampleInterval)
	}
}

// usage returns what the process of a host uses, or nothing if it has ended or the system does not tell.
func (h *host) usage() (u usage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		// Another process may have its number.
		return u
	default:
	}
	folder := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
	if status, err := os.ReadFile(folder + "status"); err == nil {
		_, after, _ := strings.Cut(string(status), "VmRSS:")
		line, _, _ := strings.Cut(after, "kB")
		kb, _ := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
		u.residentBytes = kb << 10
	}
	if descriptors, err := os.ReadDir(folder + "fd"); err == nil {
		u.descriptors = len(descriptors)
	}
	return u
}
