package configlog

import (
	"context"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// checkpointInterval is the interval at which a host checks whether a checkpoint is
// due. It is half of the default of revision.CheckpointConfig.RankDelay.
const checkpointInterval = time.Second

// CheckpointWriter appends checkpoints to the log when they are due.
type CheckpointWriter struct {
	log      port.Log
	follower *Follower
	host     ident.HostID
	// rank returns the host's zero-based position in the rendezvous order.
	rank         func() int
	checkpointer *revision.Checkpointer
}

// NewCheckpointWriter returns a checkpoint writer. The function rank must return
// the host's current position in the rendezvous order of the live hosts.
func NewCheckpointWriter(log port.Log, follower *Follower, host ident.HostID, rank func() int, cfg revision.CheckpointConfig) *CheckpointWriter {
	return &CheckpointWriter{log: log, follower: follower, host: host, rank: rank, checkpointer: revision.NewCheckpointer(cfg)}
}

// Run appends checkpoints until ctx is done.
func (w *CheckpointWriter) Run(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if snap, due := w.snapshotIfDue(); due {
			w.emitResult(w.write(ctx, snap))
		}
	}
}

func (w *CheckpointWriter) snapshotIfDue() (revision.Snapshot, bool) {
	rank := w.rank()
	w.follower.mu.Lock()
	defer w.follower.mu.Unlock()
	if !w.checkpointer.ShouldAppend(time.Now(), w.follower.state, rank) {
		return revision.Snapshot{}, false
	}
	return w.follower.state.Snapshot(), true
}

func (w *CheckpointWriter) write(ctx context.Context, snap revision.Snapshot) error {
	records, err := logcodec.Records(NewID(), revision.Checkpoint{Host: w.host, Snapshot: snap})
	if err != nil {
		return err
	}
	_, err = appendAll(ctx, w.log, records)
	return err
}

func (w *CheckpointWriter) emitResult(err error) {
	e := Event{Kind: CheckpointAppended}
	if err != nil {
		e = Event{Kind: CheckpointFailed, Err: err}
	}
	w.follower.mu.Lock()
	defer w.follower.mu.Unlock()
	w.follower.emit(e)
}
