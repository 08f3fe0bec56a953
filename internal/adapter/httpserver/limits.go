package httpserver

import (
	"cmp"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// Limits bound what connections hold. The zero value sets no limits.
type Limits struct {
	// MaxConnections bounds the open connections, including those that wait for their peer to close them.
	MaxConnections int
	// Memory is the budget from which connections and request heads take.
	Memory *membudget.Budget
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers of each connection in bytes; 0: the
	// kernel chooses, up to some megabytes for each connection.
	ReceiveBuffer, SendBuffer int
	// BodyReceiveBuffer replaces ReceiveBuffer while a large request body is read.
	BodyReceiveBuffer int
	// ResponseSendBuffer replaces SendBuffer for a response of more than smallResponseBytes while Memory has
	// room for it; 0: as SendBuffer.
	ResponseSendBuffer int
}

const (
	// connectionBytes is what an open connection takes: two buffers of 4 KiB and the stack of its goroutine.
	connectionBytes = 16 << 10
	// headByteFactor and fieldBytes are what a request head takes in memory: its bytes are kept in the read
	// buffer and as strings, and each field has an entry in a map.
	headByteFactor = 2
	fieldBytes     = 200
	// headStep is the step in which the memory for a head is reserved.
	headStep = 4 << 10
	// evictionFraction is the part of MaxConnections that is closed at once under pressure, as a divisor.
	// Choosing the connections looks at all of them.
	evictionFraction = 16
	// minBatch is the least number of these unless they are more than a quarter of MaxConnections: a client that
	// opens a connection for each request has several that are being closed.
	minBatch = 4
	// minLingerTime is the time that a peer is given to close its connection even under pressure.
	minLingerTime = 200 * time.Millisecond
	// readStallTime and writeStallTime are the times after which a connection can be closed under pressure
	// if the head of its request is not complete, or its peer does not read the response.
	readStallTime  = time.Second
	writeStallTime = 3 * time.Second
	// unreadTime is the time after which a connection counts for CloseUnread.
	unreadTime = 500 * time.Millisecond
	// largeBodyBytes is the number of bytes of a body from which on BodyReceiveBuffer is used.
	largeBodyBytes = 64 << 10
	// minWaitTime is the time that a connection has for its next request even under pressure. A caller whose
	// request is on its way would not know whether it ran. Further connections are refused meanwhile.
	minWaitTime = 200 * time.Millisecond
	// refusalLingerTime is the time for which a refused connection stays open, so that a request that was
	// sent at once does not reset it before its peer has read the refusal.
	refusalLingerTime = 100 * time.Millisecond
	// refusalWriteTime bounds the time for writing a refusal to a connection. It fits into the kernel's
	// buffer unless the peer has closed the connection.
	refusalWriteTime = 10 * time.Millisecond
)

// Responses that are written without net/http. No request of the connection has been passed on.
const (
	refusalResponse      = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

// LimitStats counts what the limits of a server caused.
type LimitStats struct {
	// Refused connections got a 503 when they were opened or before the head of a request was complete.
	// RefusedForShare are those of them whose client had an equal share of the connections already.
	Refused, RefusedForShare uint64
	// EvictedWaiting, EvictedReading, EvictedDiscarding and EvictedWriting connections were closed under
	// pressure while they waited for a request, read its head, discarded a refused body, or waited for the peer
	// to read a response.
	EvictedWaiting, EvictedReading, EvictedDiscarding, EvictedWriting uint64
	// Discards counts the requests whose body the handler did not read to its end, DiscardsNarrowed those of
	// them without room for the kernel's buffer, and DiscardsCut those that sent maxDiscardBytes after it.
	Discards, DiscardsNarrowed, DiscardsCut uint64
	// SendsNarrowed counts the responses without room for the larger send buffer.
	SendsNarrowed uint64
	// HeadsTooLarge and HeadsTimedOut count the request heads beyond the limits of the configuration.
	HeadsTooLarge, HeadsTimedOut uint64
}

// Evicted returns the number of connections that were closed under pressure.
func (s LimitStats) Evicted() uint64 {
	return s.EvictedWaiting + s.EvictedReading + s.EvictedDiscarding + s.EvictedWriting
}

// LimitStats returns the counters.
func (s *Server) LimitStats() LimitStats {
	return LimitStats{
		Refused: s.refused.Load(), RefusedForShare: s.refusedForShare.Load(), HeadsTooLarge: s.headsTooLarge.Load(), HeadsTimedOut: s.headsTimedOut.Load(),
		Discards: s.discards.Load(), DiscardsNarrowed: s.discardsNarrowed.Load(), DiscardsCut: s.discardsCut.Load(), SendsNarrowed: s.sendsNarrowed.Load(),
		EvictedWaiting: s.evictedWaiting.Load(), EvictedReading: s.evictedReading.Load(), EvictedDiscarding: s.evictedDiscarding.Load(), EvictedWriting: s.evictedWriting.Load(),
	}
}

// limitState is the part of a Server that applies limits.
type limitState struct {
	limits Limits
	// maxHeadBytes and headTimeout are the limits of SetHeaderLimits.
	maxHeadBytes, headTimeout atomic.Int64
	// perAddress counts the open connections of each client. It is guarded by the lock of the server.
	perAddress map[string]int
	// refusing is the number of refused connections that wait for their peer to close them.
	refusing atomic.Int64
	// unsent holds the idle connections whose peers have not read all of a long response. It is guarded by the
	// lock of the server.
	unsent map[*conn]struct{}
	// writing is the number of connections with a Write that has not returned.
	writing atomic.Int64

	discards, discardsNarrowed, discardsCut, sendsNarrowed                                                                    atomic.Uint64
	refused, refusedForShare, evictedWaiting, evictedReading, evictedDiscarding, evictedWriting, headsTooLarge, headsTimedOut atomic.Uint64
}

// countAddress changes the number of open connections of a client. The caller holds the lock.
func (s *Server) countAddress(c *conn, change int) {
	if s.perAddress[c.address] += change; s.perAddress[c.address] == 0 {
		delete(s.perAddress, c.address)
	}
}

// MaxConnections returns the bound of the open connections, or 0 if there is none.
func (s *Server) MaxConnections() int { return s.limits.MaxConnections }

// SetHeaderLimits changes the limits of request heads for heads of which no byte has been read; 0: only
// the limits of the Config apply.
func (s *Server) SetHeaderLimits(maxBytes int64, timeout time.Duration) {
	s.maxHeadBytes.Store(maxBytes)
	s.headTimeout.Store(int64(timeout))
}

// admit returns the connection, or nil if it was refused. Near the bound of the connections it closes others.
func (s *Server) admit(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s, ahead: s.ahead, since: time.Now(), address: ClientAddress(accepted.RemoteAddr().String())}
	if !s.reserve(c) {
		s.refuse(accepted)
		return nil
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		if s.limits.SendBuffer > 0 {
			_ = tcp.SetWriteBuffer(s.limits.SendBuffer)
		}
	}
	return c
}

// limitReceiveBuffer sets the size of the kernel's buffer for received bytes of the connections that a
// listener accepts. A buffer that is set after a connection was accepted does not bound the first bytes.
func (s *Server) limitReceiveBuffer(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok || s.limits.ReceiveBuffer <= 0 {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.limits.ReceiveBuffer)
		})
	}
}

// ClientAddress returns the address of a client, as net.Conn and http.Request state it, without its port.
func ClientAddress(remote string) string {
	if host, _, err := net.SplitHostPort(remote); err == nil {
		return host
	}
	return remote
}

// refuse closes a connection on which nothing has been read. It waits for the peer only for a part of the
// bound of the connections.
func (s *Server) refuse(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Write([]byte(refusalResponse))
	w, ok := c.(interface{ CloseWrite() error })
	if n := s.refusing.Add(1); !ok || n > int64(s.batch()) || w.CloseWrite() != nil {
		s.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer s.refusing.Add(-1)
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(refusalLingerTime))
		_, _ = io.CopyN(io.Discard, c, maxLingerBytes)
	}()
}

// batch is the number of connections that are closed at once under pressure, and of the last ones that are for
// clients with less than an equal share.
func (s *Server) batch() int {
	return max(1, s.limits.MaxConnections/evictionFraction, min(minBatch, s.limits.MaxConnections/4))
}

// reserve takes the memory of a connection, makes room for further ones and counts it as open. It reports whether
// there was room.
func (s *Server) reserve(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.batch()
	open := len(s.conns) + len(s.lingering)
	if s.limits.MaxConnections > 0 && open+batch >= s.limits.MaxConnections {
		s.evict(batch, s.perAddress[c.address])
		open = len(s.conns) + len(s.lingering)
		if open >= s.limits.MaxConnections {
			s.refused.Add(1)
			return false
		}
		if open+batch >= s.limits.MaxConnections && !s.belowEqualShare(c.address) {
			s.refused.Add(1)
			s.refusedForShare.Add(1)
			return false
		}
	}
	if s.limits.Memory != nil && !s.limits.Memory.Take(membudget.Connections, connectionBytes) {
		s.evict(batch, s.perAddress[c.address])
		s.refused.Add(1)
		return false
	}
	c.memory = connectionBytes
	s.conns[c] = struct{}{}
	s.countAddress(c, 1)
	return true
}

// belowEqualShare reports whether a client has fewer connections than if all clients and a further one had the
// same number. Only such clients get the last connections, so that one client cannot take them all. The caller
// holds the lock.
func (s *Server) belowEqualShare(address string) bool {
	others := len(s.perAddress)
	if s.perAddress[address] > 0 {
		others--
	}
	return s.perAddress[address] < s.limits.MaxConnections/(others+2)
}

// evictable is a connection that can be closed under pressure.
type evictable struct {
	conn *conn
	// rank orders by what is lost: nothing, a new connection, a request that is not complete, or a response that
	// is not read.
	rank  int
	since time.Time
	// share is the number of connections of the client.
	share int
	// ending is set if the connection is being closed.
	ending bool
}

// Ranks of connections to close.
const (
	rankLingering = iota
	rankDiscarding
	rankNew
	rankIdle
	rankReading
	rankWriting
)

// evict closes up to n connections, less those that are being closed, or ends bodies that arrive on them
// without progress. Among connections with the same rank it chooses from the client with the most, the longest
// waiting first. Clients with fewer connections than the one that needs room, which has the given number, are
// spared. The caller holds the lock.
func (s *Server) evict(n, share int) {
	now := time.Now()
	var list []evictable
	for c := range s.lingering {
		if since := c.closedAt(); now.Sub(since) >= minLingerTime {
			list = append(list, evictable{conn: c, rank: rankLingering, since: since})
		}
	}
	for c := range s.conns {
		e, ok := c.evictable(now)
		if !ok {
			if e.ending {
				n--
			}
			continue
		}
		if e.share = s.perAddress[c.address]; e.share >= share || e.rank == rankDiscarding {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(x, y evictable) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(y.share, x.share), x.since.Compare(y.since))
	})
	// Responses that are not read come last: their requests have run.
	unread, _ := slices.BinarySearchFunc(list, rankWriting, func(e evictable, rank int) int { return cmp.Compare(e.rank, rank) })
	s.closeEvictable(list[:max(0, min(n, unread))])
	if n -= unread; n > 0 && s.limits.Memory != nil {
		n -= s.limits.Memory.EvictStalled(n, now)
	}
	s.closeEvictable(list[unread:][:max(0, min(n, len(list)-unread))])
}

// closeEvictable closes connections under pressure. The caller holds the lock.
func (s *Server) closeEvictable(list []evictable) {
	for _, e := range list {
		switch e.rank {
		case rankLingering:
			e.conn.abort()
		case rankDiscarding:
			s.evictedDiscarding.Add(1)
			e.conn.abort()
		case rankNew, rankIdle:
			s.evictedWaiting.Add(1)
			e.conn.evictWaiting()
		case rankReading:
			s.evictedReading.Add(1)
			e.conn.evictReading()
		case rankWriting:
			s.evictedWriting.Add(1)
			e.conn.evictWriting()
		}
	}
}

// CloseUnread closes the connections whose peers have not read a response for the longest time, until at
// most n of them are left; 0: no bound. The kernel keeps up to both of its buffers for each of them.
func (s *Server) CloseUnread(n int) {
	if n <= 0 || s.writing.Load() <= int64(n) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []evictable
	for c := range s.conns {
		if since := c.unreadSince(); !since.IsZero() && now.Sub(since) >= unreadTime {
			list = append(list, evictable{conn: c, since: since, share: s.perAddress[c.address]})
		}
	}
	slices.SortFunc(list, func(x, y evictable) int {
		return cmp.Or(cmp.Compare(y.share, x.share), x.since.Compare(y.since))
	})
	for _, e := range list[:max(0, len(list)-n)] {
		s.evictedWriting.Add(1)
		e.conn.evictWriting()
	}
}

// headScanner finds the end of a request head in the bytes that are read from a connection.
type headScanner struct {
	// bytes and lines are those of the head so far.
	bytes, lines int64
	// lineBytes is the length of the current line without its end.
	lineBytes int
	// started is set after the first line that is not empty.
	started bool
	ended   bool
}

// scan processes further bytes.
func (h *headScanner) scan(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch b {
		case '\n':
			h.lines++
			h.ended = h.started && h.lineBytes == 0
			h.lineBytes = 0
		case '\r':
		default:
			h.started = true
			h.lineBytes++
		}
	}
}

// memory returns what the head takes in memory.
func (h *headScanner) memory() int64 { return headByteFactor*h.bytes + fieldBytes*h.lines }
