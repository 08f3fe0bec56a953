package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Sizes of the buffer for streamed bodies. Room before and after the data
// holds the framing of a chunk, so that a chunk is one write.
const (
	streamBytes = 32 << 10
	chunkPrefix = 10
	chunkSuffix = 2
)

var streamBuffers = sync.Pool{New: func() any { return new([chunkPrefix + streamBytes + chunkSuffix]byte) }}

// send writes the request, or starts to when the body streams.
func (x *exchange) send() error {
	a := x.a
	if a.Body == nil || a.ContentLength == 0 {
		a.Body = nil
		return x.sendWhole(nil)
	}
	if a.ContentLength > 0 && a.ContentLength <= x.t.cfg.InlineBodyBytes {
		body, err := x.readWhole()
		if err != nil {
			return err
		}
		return x.sendWhole(body)
	}
	if err := x.write(x.headOf()); err != nil {
		return x.afterWriteError(err)
	}
	x.bodyCtx, x.stopBody = context.WithCancel(x.ctx)
	x.writerDone = make(chan struct{})
	go x.streamBody()
	return nil
}

// readWhole reads a small body before the first byte is sent.
func (x *exchange) readWhole() ([]byte, error) {
	body := make([]byte, x.a.ContentLength)
	n, err := io.ReadFull(x.callerBody(), body)
	x.tookBody(n, err == nil)
	if err != nil {
		return nil, callerError(err)
	}
	return body, nil
}

func (x *exchange) tookBody(n int, whole bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bodyBytesRead += int64(n)
	x.bodyRead = x.bodyRead || whole
}

// callerError marks an error as one of the caller's body.
func callerError(err error) error {
	if errors.Is(err, ErrSlowCaller) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCallerBody, err)
}

func (x *exchange) callerBody() *callerBody {
	grace := x.t.cfg.SlowCallerGrace
	return &callerBody{
		r: x.a.Body, rate: x.a.MinBodyBytesPerSecond, left: grace, grace: grace,
		onSlow: func() { x.giveUp(ErrSlowCaller) },
	}
}

// sendWhole writes head and body at once.
func (x *exchange) sendWhole(body []byte) error {
	if err := x.pace(x.ctx, len(body)); err != nil {
		return err
	}
	if err := x.write(append(x.headOf(), body...)); err != nil {
		return x.afterWriteError(err)
	}
	x.apply(outcome.RequestWritten)
	return nil
}

// afterWriteError allows a target that stopped reading to have responded. The
// wait is bounded because a half-open connection brings no response.
func (x *exchange) afterWriteError(err error) error {
	x.mu.Lock()
	sent := x.machine.Sent()
	x.mu.Unlock()
	if !sent || x.ctx.Err() != nil {
		return err
	}
	x.c.boundRead(time.Now().Add(x.t.cfg.EarlyResponseWait))
	return nil
}

// head appends the request line and header to a buffer.
func (x *exchange) head(b []byte) []byte {
	a := x.a
	var remaining time.Duration
	if deadline, ok := x.ctx.Deadline(); ok {
		remaining = max(time.Millisecond, time.Until(deadline)-x.t.cfg.DeadlineReserve)
	}
	host := a.Host
	if host == "" {
		host = a.Address
	}
	for _, part := range [...]string{a.Method, " ", a.URI, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		b = append(b, part...)
	}
	return append(appendRequestHeader(b, &x.t.cfg.Dialect, a, remaining), "\r\n"...)
}

// headOf returns the head in the connection's buffer.
func (x *exchange) headOf() []byte {
	b := x.head(x.c.out[:0])
	if cap(b) <= maxKeptHead {
		x.c.out = b
	}
	return b
}

// maxKeptHead bounds the buffer for request heads that a connection keeps.
const maxKeptHead = 4 << 10

// write sends p and records the first byte that leaves this host.
func (x *exchange) write(p []byte) error {
	if err := x.ctx.Err(); err != nil {
		return err
	}
	n, err := x.c.Write(p)
	x.c.counter.addSent(n)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written += int64(n)
	if n > 0 {
		x.machine.Apply(outcome.Event{Kind: outcome.BytesWritten})
	}
	return err
}

// pace waits until n body bytes may cross to another region.
func (x *exchange) pace(ctx context.Context, n int) error {
	if !x.a.CrossRegion || n == 0 {
		return nil
	}
	return x.t.pacer.wait(ctx, n)
}

// streamBody writes a large body in the writer's goroutine.
func (x *exchange) streamBody() {
	defer close(x.writerDone)
	err := x.copyBody()
	x.mu.Lock()
	settled := x.settled
	x.mu.Unlock()
	switch {
	case err == nil:
		x.apply(outcome.RequestWritten)
	case settled:
	case isCallerError(err):
		x.giveUp(err)
	default:
		x.c.boundRead(time.Now().Add(x.t.cfg.EarlyResponseWait))
	}
}

// copyBody copies the body with a bounded buffer.
func (x *exchange) copyBody() error {
	buf := streamBuffers.Get().(*[chunkPrefix + streamBytes + chunkSuffix]byte)
	defer streamBuffers.Put(buf)
	body := x.callerBody()
	left := x.a.ContentLength
	for left != 0 {
		data := buf[chunkPrefix : chunkPrefix+streamBytes]
		if left > 0 {
			data = data[:min(left, streamBytes)]
		}
		n, err := body.Read(data)
		left -= int64(n)
		end := left == 0 || (left < 0 && err == io.EOF)
		x.tookBody(n, end)
		if writeErr := x.writeBody(buf[:], n, end); writeErr != nil {
			return writeErr
		}
		if end {
			return nil
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return callerError(err)
		}
	}
	return nil
}

// writeBody sends n bytes of buf, as a chunk when the body has no length.
func (x *exchange) writeBody(buf []byte, n int, end bool) error {
	if err := x.pace(x.bodyCtx, n); err != nil {
		return err
	}
	from, to := chunkPrefix, chunkPrefix+n
	if x.a.chunked() {
		if n > 0 {
			prefix := strconv.FormatInt(int64(n), 16) + "\r\n"
			from -= copy(buf[chunkPrefix-len(prefix):], prefix)
			to += copy(buf[to:], "\r\n")
		}
		if end {
			return x.writeAll(buf[from:to], []byte("0\r\n\r\n"))
		}
	}
	return x.writeAll(buf[from:to])
}

func (x *exchange) writeAll(parts ...[]byte) error {
	for _, p := range parts {
		if len(p) == 0 {
			continue
		}
		if err := x.write(p); err != nil {
			return err
		}
	}
	return nil
}

// settleWriter ends the writer of a streamed body. When the body was read to
// its end, the last write gets the given time to finish.
func (x *exchange) settleWriter(timeout time.Duration) {
	if x.writerDone == nil {
		return
	}
	x.mu.Lock()
	bodyRead := x.bodyRead
	x.settled = true
	x.mu.Unlock()
	if bodyRead && timeout > 0 {
		x.c.boundWrite(time.Now().Add(timeout))
		<-x.writerDone
		x.c.boundWrite(time.Time{})
		return
	}
	x.c.boundWrite(time.Unix(1, 0))
	x.stopBody()
	if bodyRead {
		<-x.writerDone
	} else if x.a.InterruptBody != nil {
		// Also when the writer has ended by itself: whoever feeds the body must
		// learn that it is not read any more.
		x.a.InterruptBody()
		<-x.writerDone
	}
}
