package configlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// readErrors counts failed reads of the log.
var readErrors = metrics.NewCounter("sapphirehaven_log_read_errors_total")

// SetReading switches reading the log on or off. Records and snapshots from
// peers are applied in both cases.
func (f *Follower) SetReading(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading == on {
		return
	}
	f.reading, f.contacted = on, false
	f.stopReading()
	f.switched.notify()
}

// Run reads the log while reading is switched on, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	switched, cancel := f.switched.subscribe()
	defer cancel()
	b := newBackoff(f.cfg)
	for ctx.Err() == nil {
		readCtx, ok := f.startReading(ctx)
		if !ok {
			wait(ctx, switched, nil)
			continue
		}
		empty, err := f.read(readCtx)
		if readCtx.Err() != nil {
			continue
		}
		f.setLogErr(err)
		switch {
		case err != nil:
			pause(readCtx, b.next())
		case empty:
			b.reset()
			pause(readCtx, f.cfg.EmptyReadDelay)
		default:
			b.reset()
		}
	}
}

// startReading returns a context that ends when reading is switched off.
func (f *Follower) startReading(ctx context.Context) (context.Context, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading {
		return nil, false
	}
	f.stopReading()
	readCtx, cancel := context.WithCancel(ctx)
	f.stopReading = cancel
	return readCtx, true
}

// read reads the log once and applies what it returns.
func (f *Follower) read(ctx context.Context) (empty bool, err error) {
	status := f.Status()
	from, wait := status.AsOf+1, f.cfg.ReadWait
	if !status.LogReached {
		// The first answer shows whether the log service can be reached, so it
		// does not wait for a record.
		wait = 0
	}
	batch, err := f.log.Read(ctx, from, f.cfg.ReadLimit, wait)
	var truncated *port.TruncatedError
	if errors.As(err, &truncated) {
		return false, f.rebuild(ctx, truncated.FirstOffset)
	}
	if err != nil {
		return false, err
	}
	if batch.NextOffset < from {
		return false, errors.Errorf("the log ends at offset %d, before the own offset %d", batch.NextOffset, from-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(batch.Records) == 0, f.apply(batch.Records)
}

// rebuild scans the retained records for a checkpoint. A peer's snapshot that
// arrives during the scan ends it.
func (f *Follower) rebuild(ctx context.Context, first int64) error {
	scan := revision.NewBootstrap(f.cfg.Decode)
	scan.SetFirstRetained(first)
	for from := first; f.Status().AsOf+1 < first; {
		batch, err := f.log.Read(ctx, from, f.cfg.ReadLimit, 0)
		var truncated *port.TruncatedError
		if errors.As(err, &truncated) {
			first, from = truncated.FirstOffset, truncated.FirstOffset
			scan.SetFirstRetained(first)
			continue
		}
		if err != nil {
			return err
		}
		first = max(first, batch.FirstOffset)
		scan.SetFirstRetained(first)
		for _, r := range batch.Records {
			scan.Observe(r)
		}
		from += int64(len(batch.Records))
		if len(batch.Records) < f.cfg.ReadLimit {
			return f.finishRebuild(scan)
		}
	}
	return nil
}

func (f *Follower) finishRebuild(scan *revision.Bootstrap) error {
	state, err := scan.InitialState()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.emit(Event{Kind: NeedsSnapshot, Err: err})
		return err
	}
	_, err = f.adopt(state.Snapshot())
	return err
}

// setLogErr reports a change between available and unavailable.
func (f *Follower) setLogErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unavailable *port.LogUnavailableError
	if err != nil {
		readErrors.Inc()
	}
	wasDown := errors.As(f.logErr, &unavailable)
	isDown := errors.As(err, &unavailable)
	f.logErr = err
	f.contacted = f.contacted || err == nil
	switch {
	case isDown && !wasDown:
		f.emit(Event{Kind: LogUnavailable, Err: err})
	case wasDown && !isDown:
		f.emit(Event{Kind: LogAvailable})
	}
}

// backoff gives growing times with jitter, so that hosts don't return to
// a recovering log service at the same time.
type backoff struct {
	cfg  Config
	rng  *rand.Rand
	step time.Duration
}

func newBackoff(cfg Config) *backoff {
	return &backoff{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), step: cfg.BackoffMin}
}

func (b *backoff) reset() { b.step = b.cfg.BackoffMin }

func (b *backoff) next() time.Duration {
	d := b.step/2 + time.Duration(b.rng.Int64N(int64(b.step)))
	b.step = min(2*b.step, b.cfg.BackoffMax)
	return d
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	wait(ctx, nil, timer.C)
}

// wait returns when any of its arguments is ready.
func wait(ctx context.Context, wake <-chan struct{}, timer <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer:
	}
}
