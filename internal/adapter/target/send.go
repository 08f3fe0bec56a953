package target

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Sizes of the buffer for streamed bodies. The space before and after the data
// holds the chunk framing, so that a chunk is sent with one write.
const (
	streamBytes = 32 << 10
	chunkPrefix = 10
	chunkSuffix = 2
)

var streamBuffers = sync.Pool{New: func() any { return new([chunkPrefix + streamBytes + chunkSuffix]byte) }}

// send writes the request. For a streamed body it writes the head and starts the
// writer of the body.
func (x *exchange) send() error {
	a := x.a
	if a.Body == nil {
		return x.sendWhole(nil)
	}
	x.enlargeSendBuffer()
	if a.ContentLength > 0 && a.ContentLength <= x.t.cfg.InlineBodyBytes {
		// An attempt that is withdrawn before the body is read can be repeated.
		if err := x.checkMayWrite(); err != nil {
			return err
		}
		body, err := x.readWhole()
		if err != nil {
			return err
		}
		return x.sendWhole(body)
	}
	if err := x.writeFirst(x.encodeHead()); err != nil {
		return x.afterWriteError(err)
	}
	x.bodyCtx, x.cancelBody = context.WithCancel(x.bodyContext())
	x.writerDone = make(chan struct{})
	go x.streamBody()
	return nil
}

// bodyContext returns the context under which the body is written. A body that may be
// written on after the attempt is not bound to the context of the attempt; until the end
// of the attempt, that context interrupts the connection.
func (x *exchange) bodyContext() context.Context {
	if x.a.ReleaseBody != nil {
		return context.WithoutCancel(x.ctx)
	}
	return x.ctx
}

// readWhole reads a small body completely, before the first byte is sent.
func (x *exchange) readWhole() ([]byte, error) {
	body := make([]byte, x.a.ContentLength)
	n, err := io.ReadFull(x.callerBody(), body)
	x.recordBodyRead(n, err == nil)
	if err != nil {
		return nil, callerError(err)
	}
	x.wholeBody = body
	return body, nil
}

func (x *exchange) recordBodyRead(n int, whole bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bodyBytesRead += int64(n)
	x.bodyRead = x.bodyRead || whole
}

// callerError marks an error as caused by reading the caller's body.
func callerError(err error) error {
	if errors.Is(err, ErrSlowCaller) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCallerBody, err)
}

func (x *exchange) callerBody() *callerBody {
	grace := x.t.cfg.SlowCallerGrace
	return &callerBody{
		r: x.a.Body, rate: x.a.MinBodyBytesPerSecond, allowance: grace, grace: grace,
		onTimeout: func() { x.abort(ErrSlowCaller) },
	}
}

// sendWhole writes head and body with one write.
func (x *exchange) sendWhole(body []byte) error {
	if err := x.pace(x.ctx, len(body)); err != nil {
		return err
	}
	if err := x.writeFirst(append(x.encodeHead(), body...)); err != nil {
		return x.afterWriteError(err)
	}
	x.apply(outcome.RequestWritten)
	return nil
}

// afterWriteError returns nil if the target may have sent a response before it
// stopped reading. The wait for it is bounded because a half-open connection
// delivers no response.
func (x *exchange) afterWriteError(err error) error {
	x.mu.Lock()
	sent := x.state.Sent()
	x.mu.Unlock()
	if !sent || x.ctx.Err() != nil {
		return err
	}
	x.c.setReadDeadline(time.Now().Add(x.t.cfg.EarlyResponseWait))
	return nil
}

// appendHead appends the request line and header to a buffer.
func (x *exchange) appendHead(b []byte) []byte {
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

// encodeHead encodes the request head into the connection's buffer.
func (x *exchange) encodeHead() []byte {
	b := x.appendHead(x.c.headBuf[:0])
	if cap(b) <= maxRetainedHeadBytes {
		x.c.headBuf = b
	}
	return b
}

// maxRetainedHeadBytes bounds the buffer for request heads that a connection
// retains.
const maxRetainedHeadBytes = 4 << 10

// writeFirst writes the first bytes of the request unless the attempt is withdrawn.
func (x *exchange) writeFirst(p []byte) error {
	if err := x.checkMayWrite(); err != nil {
		return err
	}
	return x.write(p)
}

// write writes p to the connection and records the bytes written.
func (x *exchange) write(p []byte) error {
	if err := x.writeContext().Err(); err != nil {
		return err
	}
	n, err := x.c.Write(p)
	x.c.counter.addSent(n)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bytesWritten += int64(n)
	if n > 0 {
		x.state.Apply(outcome.Event{Kind: outcome.BytesWritten})
	}
	x.writeFailed = x.writeFailed || (err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	return err
}

// writeContext returns the context that ends writing.
func (x *exchange) writeContext() context.Context {
	if x.bodyCtx != nil {
		return x.bodyCtx
	}
	return x.ctx
}

// pace blocks until n body bytes may be sent to another region.
func (x *exchange) pace(ctx context.Context, n int) error {
	if !x.a.CrossRegion || n == 0 {
		return nil
	}
	return x.t.pacer.wait(ctx, n)
}

// streamBody runs in the writer goroutine and writes a streamed body.
func (x *exchange) streamBody() {
	defer close(x.writerDone)
	err := errPanic
	recovery.CallWithHandler(func() { err = x.copyBody() }, func(cause any, _ []byte) { x.abort(fmt.Errorf("%w in the writer of the body: %v", errPanic, cause)) })
	x.mu.Lock()
	writerStopping := x.writerStopping
	x.mu.Unlock()
	switch {
	case err == nil:
		x.apply(outcome.RequestWritten)
		x.mu.Lock()
		x.bodyWritten = true
		x.mu.Unlock()
	case writerStopping:
	case isCallerError(err):
		x.abort(err)
	default:
		x.c.setReadDeadline(time.Now().Add(x.t.cfg.EarlyResponseWait))
	}
}

// copyBody copies the body to the connection through a buffer of fixed size.
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
		x.recordBodyRead(n, end)
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

// writeBody sends n bytes of buf, as a chunk if the body has no declared length.
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

// stopWriter stops the writer of a streamed body and waits for it, unless it may be
// blocked in a Read that cannot be interrupted. If the body was read to its end, the
// last write may take up to timeout.
func (x *exchange) stopWriter(timeout time.Duration) {
	if x.writerDone == nil {
		return
	}
	x.mu.Lock()
	bodyRead := x.bodyRead
	x.writerStopping = true
	x.mu.Unlock()
	if bodyRead && timeout > 0 {
		x.c.setWriteDeadline(time.Now().Add(timeout))
		<-x.writerDone
		x.c.setWriteDeadline(time.Time{})
		return
	}
	x.c.setWriteDeadline(time.Unix(1, 0))
	x.cancelBody()
	if bodyRead {
		<-x.writerDone
	} else if x.a.InterruptBody != nil {
		// This is also needed if the writer has already returned: the producer of
		// the body must be told that it is no longer read.
		x.a.InterruptBody()
		<-x.writerDone
	}
}
