package revision_test

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

// bootstrapFunc selects the initial state of a reader that has no state.
type bootstrapFunc func(first int64, retained []revision.Record) (*revision.State, error)

// step is one step of a schedule. Kind selects the operation, see runStep; A and B are
// its parameters, whose meaning depends on the operation.
type step struct{ Kind, Reader, A, B int }

const (
	readers   = 3
	stepKinds = 12
)

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:   rapid.IntRange(0, stepKinds-1).Draw(t, "kind"),
		Reader: rapid.IntRange(0, readers-1).Draw(t, "reader"),
		A:      rapid.IntRange(0, 11).Draw(t, "a"),
		B:      rapid.IntRange(0, 11).Draw(t, "b"),
	}
}), 30, 70)

// simulation holds a log, the expected state after each prefix of it, and
// several readers.
type simulation struct {
	testLog
	bootstrap bootstrapFunc
	// compareSnapshots compares complete snapshots in addition to the revision
	// and the chain hash.
	compareSnapshots   bool
	reference          *revision.State
	expected           []digest
	sectionsByRevision []document.SectionSet
	savedSnapshots     []revision.Snapshot
	acceptedByBase     map[uint64]string
	readers            [readers]*revision.State
	minRevisions       [readers]uint64
	ids                int
	// wroteLarge is set once the schedule has written large records. It writes
	// them only once, because encoding them is slow under the race detector.
	wroteLarge bool
}

type digest struct {
	revision     uint64
	chain        document.Hash
	snapshotHash [sha256.Size]byte
}

func (sim *simulation) digest(s *revision.State) digest {
	d := digest{revision: s.Revision(), chain: s.Chain()}
	if sim.compareSnapshots {
		snap := s.Snapshot()
		content := snap.Sections.Hash()
		snap.Sections = document.SectionSet{}
		pending := len(snap.Pending.Chunks)
		snap.Pending.Chunks = nil
		d.snapshotHash = sha256.Sum256(fmt.Appendf(nil, "%s %d %+v", content, pending, snap))
	}
	return d
}

func runSchedule(schedule []step, bootstrap bootstrapFunc, compareSnapshots bool) error {
	clear(decodeCache)
	sim := &simulation{bootstrap: bootstrap, compareSnapshots: compareSnapshots, reference: revision.New(decode), acceptedByBase: map[uint64]string{}, sectionsByRevision: []document.SectionSet{{}}}
	sim.expected = []digest{sim.digest(sim.reference)}
	for i := range sim.readers {
		sim.readers[i] = revision.New(decode)
	}
	for i, s := range schedule {
		err := sim.runStep(s)
		if err == nil {
			err = sim.checkReader(s.Reader)
		}
		if err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
	}
	return nil
}

func (sim *simulation) write(data []byte) error {
	out := sim.reference.Apply(sim.add(data))
	if out.Activated {
		sim.sectionsByRevision = append(sim.sectionsByRevision, sim.reference.Sections())
	}
	sim.expected = append(sim.expected, sim.digest(sim.reference))
	return sim.checkAccepted(out)
}

func (sim *simulation) writeAll(records [][]byte) error {
	for _, data := range records {
		if err := sim.write(data); err != nil {
			return err
		}
	}
	return nil
}

// checkAccepted checks that no two readers accept different proposals for the
// same base.
func (sim *simulation) checkAccepted(out revision.Outcome) error {
	if !out.Activated {
		return nil
	}
	if id, ok := sim.acceptedByBase[out.Result.Base]; ok && id != out.Result.ID {
		return errors.Errorf("base %d: accepted %s and %s", out.Result.Base, id, out.Result.ID)
	}
	sim.acceptedByBase[out.Result.Base] = out.Result.ID
	return nil
}

// newProposal returns a proposal based on one of the three newest revisions.
func (sim *simulation) newProposal(id string, back int, path string) revision.Proposal {
	base := max(0, len(sim.sectionsByRevision)-1-back%3)
	return proposal(id, uint64(base), sim.sectionsByRevision[base], withRoute(sim.sectionsByRevision[base], "r"+id[len(id)-1:], path))
}

// id returns a new ID, or one that may already be used or withdrawn.
func (sim *simulation) id(choice int) string {
	sim.ids++
	if choice == 0 {
		return fmt.Sprint(sim.ids / 2)
	}
	return fmt.Sprint(sim.ids)
}

func (sim *simulation) runStep(s step) error {
	switch s.Kind {
	case 0, 1: // append a proposal: A selects the ID, B the base
		return sim.write(must(logcodec.Encode(sim.newProposal(sim.id(s.A), s.B, "/x"))))
	case 2: // append a withdrawal: A selects the ID, B the base
		id := fmt.Sprint(sim.ids + s.A - 2)
		return sim.write(must(logcodec.Encode(revision.Withdrawal{ID: id, Base: uint64(max(0, len(sim.sectionsByRevision)-1-s.B%2))})))
	case 3: // save a snapshot of the reader
		sim.savedSnapshots = append(sim.savedSnapshots, sim.readers[s.Reader].Snapshot())
	case 4: // append a checkpoint, or garbage if no snapshot is saved: A selects the snapshot
		return sim.writeCheckpoint(s)
	case 5: // append chunks, see writeChunks: A selects one or two proposals, B the number of chunks
		return sim.writeChunks(s)
	case 6: // truncate the log: A/4 is the number of records
		sim.first = min(sim.first+int64(s.A/4), int64(len(sim.records)))
	case 7: // restart the reader
		return sim.restart(s.Reader)
	case 8, 9: // read from the log: A/2 is the number of records
		return sim.readLog(s)
	case 10: // adopt the snapshot of a reader, selected by A
		return sim.adopt(s.Reader, s.A%readers)
	case 11: // read from a peer: A selects the peer, B the first record
		return sim.readPeer(s)
	}
	return nil
}

func (sim *simulation) writeCheckpoint(s step) error {
	if len(sim.savedSnapshots) == 0 {
		return sim.write([]byte("garbage"))
	}
	return sim.writeAll(must(logcodec.Records(sim.id(1), revision.Checkpoint{Snapshot: sim.savedSnapshots[s.A%len(sim.savedSnapshots)]})))
}

// writeChunks writes part of one large proposal, or two large proposals whose
// chunks may be interleaved.
func (sim *simulation) writeChunks(s step) error {
	if s.A > 1 || sim.wroteLarge {
		return sim.write(nil)
	}
	sim.wroteLarge = true
	a := must(logcodec.Records(sim.id(1), sim.newProposal(sim.id(1), 0, largePath)))
	if s.A > 0 {
		return sim.writeAll(a[:1+s.B%len(a)])
	}
	b := must(logcodec.Records(sim.id(1), sim.newProposal(sim.id(1), 0, largePath+"b")))
	n := s.B % (len(a) + 1)
	return sim.writeAll(append(a[:n], append(b, a[n:]...)...))
}

// restart discards a reader's state and rebuilds it from the log if possible.
func (sim *simulation) restart(i int) error {
	sim.readers[i] = revision.New(decode)
	sim.minRevisions[i] = 0
	s, err := sim.bootstrap(sim.first, sim.retained())
	var incomplete *revision.IncompleteLogError
	if errors.As(err, &incomplete) {
		return nil
	}
	sim.readers[i] = s
	return err
}

func (sim *simulation) apply(i int, records []revision.Record) error {
	for _, r := range records {
		if err := sim.checkAccepted(sim.readers[i].Apply(r)); err != nil {
			return err
		}
	}
	return nil
}

// readLog applies the next records from the log, or restarts the reader if they
// have been truncated.
func (sim *simulation) readLog(s step) error {
	from := sim.readers[s.Reader].AsOf() + 1
	if from < sim.first {
		return sim.restart(s.Reader)
	}
	to := min(from+int64(s.A/2), int64(len(sim.records)))
	return sim.apply(s.Reader, sim.records[from:to])
}

// readPeer applies records that a peer has applied; they can be repeated or
// follow a gap.
func (sim *simulation) readPeer(s step) error {
	have := sim.readers[s.A%readers].AsOf() + 1
	from := max(0, sim.readers[s.Reader].AsOf()+1+int64(s.B)-4)
	if from >= have {
		return nil
	}
	return sim.apply(s.Reader, sim.records[from:have])
}

func (sim *simulation) adopt(to, from int) error {
	_, err := sim.readers[to].Adopt(sim.readers[from].Snapshot())
	return err
}

func (sim *simulation) checkReader(i int) error {
	s := sim.readers[i]
	if got, want := sim.digest(s), sim.expected[s.AsOf()+1]; got != want {
		return errors.Errorf("reader %d as of %d: revision %d chain %s, want revision %d chain %s", i, s.AsOf(), got.revision, got.chain, want.revision, want.chain)
	}
	if s.Revision() < sim.minRevisions[i] {
		return errors.Errorf("reader %d went from revision %d to %d", i, sim.minRevisions[i], s.Revision())
	}
	sim.minRevisions[i] = s.Revision()
	return nil
}

func bootstrapFromLog(first int64, retained []revision.Record) (*revision.State, error) {
	b := revision.NewBootstrap(decode)
	b.SetFirstRetained(first)
	for _, r := range retained {
		b.Observe(r)
	}
	return b.InitialState()
}

// bootstrapAtCheckpointOffset is an incorrect bootstrap: it treats the last
// checkpoint as the state at the checkpoint's own offset rather than at its AsOf.
func bootstrapAtCheckpointOffset(first int64, retained []revision.Record) (*revision.State, error) {
	s := revision.New(decode)
	for _, r := range retained {
		e, _ := decode(r.Data)
		if c, ok := e.(revision.Checkpoint); ok && c.Snapshot.Revision >= s.Revision() {
			c.Snapshot.AsOf = r.Offset
			if _, err := s.Adopt(c.Snapshot); err != nil {
				return nil, err
			}
		}
	}
	if s.AsOf() == revision.NoOffset && first > 0 {
		return nil, &revision.IncompleteLogError{FirstOffset: first}
	}
	return s, nil
}

// TestReadersAgree guards against two hosts with different configurations at the
// same offset, a decreasing revision, and two accepted proposals for one base.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSchedule(schedules.Draw(t, "schedule"), bootstrapFromLog, true); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAgreementDetectsWrongBootstrap guards against an agreement test that does
// not detect an incorrect bootstrap rule: adopting a checkpoint at its own offset
// rather than at its AsOf.
func TestAgreementDetectsWrongBootstrap(t *testing.T) {
	const numSchedules = 300
	for seed := range numSchedules {
		if err := runSchedule(schedules.Example(seed), bootstrapAtCheckpointOffset, false); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no disagreement in %d schedules", numSchedules)
}
