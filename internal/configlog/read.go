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

// readErrors counts failed reads from the log.
var readErrors = metrics.NewCounter("sapphirehaven_log_read_errors_total")

// SetReading enables or disables reading from the log. Records and snapshots from
// peers are applied in both cases.
func (f *Follower) SetReading(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading == on {
		return
	}
	f.reading, f.logReached = on, false
	f.stopReading()
	f.readingChanged.notify()
}

// Run reads the log while reading is enabled, until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	readingChanged, cancel := f.readingChanged.subscribe()
	defer cancel()
	b := newBackoff(f.cfg)
	for ctx.Err() == nil {
		readCtx, ok := f.readContext(ctx)
		if !ok {
			waitAny(ctx, readingChanged, nil)
			continue
		}
		empty, err := f.read(readCtx)
		if readCtx.Err() != nil {
			continue
		}
		f.setLogErr(err)
		switch {
		case err != nil:
			sleep(readCtx, b.next())
		case empty:
			b.reset()
			sleep(readCtx, f.cfg.EmptyReadDelay)
		default:
			b.reset()
		}
	}
}

// readContext returns a context for reads that is canceled when reading is switched.
// It returns false if reading is disabled.
func (f *Follower) readContext(ctx context.Context) (context.Context, bool) {
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

// read reads from the log once and applies the records.
func (f *Follower) read(ctx context.Context) (empty bool, err error) {
	status := f.Status()
	from, wait := status.AsOf+1, f.cfg.ReadWait
	if !status.LogReached {
		// The first read shows whether the log service is reachable, so it does not
		// wait for new records.
		wait = 0
	}
	batch, err := f.log.Read(ctx, from, f.cfg.ReadLimit, wait)
	var truncated *port.TruncatedError
	if errors.As(err, &truncated) {
		return false, f.rebuildFromCheckpoint(ctx, truncated.FirstOffset)
	}
	if err != nil {
		return false, err
	}
	if batch.NextOffset < from {
		return false, errors.Errorf("the log ends at offset %d, before the applied offset %d", batch.NextOffset, from-1)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(batch.Records) == 0, f.apply(batch.Records)
}

// rebuildFromCheckpoint scans the retained records for a checkpoint and adopts the
// resulting state. It stops early if a peer's snapshot arrives during the scan.
func (f *Follower) rebuildFromCheckpoint(ctx context.Context, first int64) error {
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

// setLogErr records the result of a read and emits an event if the availability of
// the log service has changed.
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
	f.logReached = f.logReached || err == nil
	switch {
	case isDown && !wasDown:
		f.emit(Event{Kind: LogUnavailable, Err: err})
	case wasDown && !isDown:
		f.emit(Event{Kind: LogAvailable})
	}
}

// backoff computes exponentially increasing delays with jitter, so that hosts do not
// reconnect to a recovering log service at the same time.
type backoff struct {
	cfg      Config
	rng      *rand.Rand
	interval time.Duration
}

func newBackoff(cfg Config) *backoff {
	return &backoff{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), interval: cfg.BackoffMin}
}

func (b *backoff) reset() { b.interval = b.cfg.BackoffMin }

func (b *backoff) next() time.Duration {
	d := b.interval/2 + time.Duration(b.rng.Int64N(int64(b.interval)))
	b.interval = min(2*b.interval, b.cfg.BackoffMax)
	return d
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	waitAny(ctx, nil, timer.C)
}

// waitAny waits until any of its arguments is ready.
func waitAny(ctx context.Context, wake <-chan struct{}, timer <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer:
	}
}
