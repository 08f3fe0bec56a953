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

// bootRule chooses the state of a reader that knows nothing.
type bootRule func(first int64, retained []revision.Record) (*revision.State, error)

// step is one step of a schedule; Kind selects it, the numbers are its choices.
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

// world holds a log, the state after each prefix of it, and several readers.
type world struct {
	testLog
	boot bootRule
	// exact compares whole snapshots and not only revision and chain.
	exact     bool
	reference *revision.State
	truth     []digest
	bases     []document.SectionSet
	held      []revision.Snapshot
	winners   map[uint64]string
	readers   [readers]*revision.State
	floors    [readers]uint64
	ids       int
	// large tells that the schedule has had its large records, which are slow
	// to encode with the race detector.
	large bool
}

type digest struct {
	revision uint64
	chain    document.Hash
	whole    [sha256.Size]byte
}

func (w *world) digest(s *revision.State) digest {
	d := digest{revision: s.Revision(), chain: s.Chain()}
	if w.exact {
		snap := s.Snapshot()
		content := snap.Sections.Hash()
		snap.Sections = document.SectionSet{}
		pending := len(snap.Pending.Chunks)
		snap.Pending.Chunks = nil
		d.whole = sha256.Sum256(fmt.Appendf(nil, "%s %d %+v", content, pending, snap))
	}
	return d
}

func run(schedule []step, boot bootRule, exact bool) error {
	clear(decodedByData)
	w := &world{boot: boot, exact: exact, reference: revision.New(decode), winners: map[uint64]string{}, bases: []document.SectionSet{{}}}
	w.truth = []digest{w.digest(w.reference)}
	for i := range w.readers {
		w.readers[i] = revision.New(decode)
	}
	for i, s := range schedule {
		err := w.do(s)
		if err == nil {
			err = w.check(s.Reader)
		}
		if err != nil {
			return errors.Wrapf(err, "step %d %+v", i, s)
		}
	}
	return nil
}

func (w *world) write(data []byte) error {
	out := w.reference.Apply(w.add(data))
	if out.Activated {
		w.bases = append(w.bases, w.reference.Sections())
	}
	w.truth = append(w.truth, w.digest(w.reference))
	return w.noteWinner(out)
}

func (w *world) writeAll(records [][]byte) error {
	for _, data := range records {
		if err := w.write(data); err != nil {
			return err
		}
	}
	return nil
}

// noteWinner checks that no two readers accept different proposals for a base.
func (w *world) noteWinner(out revision.Outcome) error {
	if !out.Activated {
		return nil
	}
	if id, ok := w.winners[out.Result.Base]; ok && id != out.Result.ID {
		return errors.Errorf("base %d: accepted %s and %s", out.Result.Base, id, out.Result.ID)
	}
	w.winners[out.Result.Base] = out.Result.ID
	return nil
}

// draft returns a proposal against one of the newest three revisions.
func (w *world) draft(id string, back int, path string) revision.Proposal {
	base := max(0, len(w.bases)-1-back%3)
	return proposal(id, uint64(base), w.bases[base], withRoute(w.bases[base], "r"+id[len(id)-1:], path))
}

// id returns a new ID, or one used before or withdrawn in advance.
func (w *world) id(choice int) string {
	w.ids++
	if choice == 0 {
		return fmt.Sprint(w.ids / 2)
	}
	return fmt.Sprint(w.ids)
}

func (w *world) do(s step) error {
	switch s.Kind {
	case 0, 1:
		return w.write(must(logcodec.Encode(w.draft(w.id(s.A), s.B, "/x"))))
	case 2:
		id := fmt.Sprint(w.ids + s.A - 2)
		return w.write(must(logcodec.Encode(revision.Withdrawal{ID: id, Base: uint64(max(0, len(w.bases)-1-s.B%2))})))
	case 3:
		w.held = append(w.held, w.readers[s.Reader].Snapshot())
	case 4:
		return w.writeHeld(s)
	case 5:
		return w.writeChunks(s)
	case 6:
		w.first = min(w.first+int64(s.A/4), int64(len(w.records)))
	case 7:
		return w.restart(s.Reader)
	case 8, 9:
		return w.readLog(s)
	case 10:
		return w.adopt(s.Reader, s.A%readers)
	case 11:
		return w.readPeer(s)
	}
	return nil
}

func (w *world) writeHeld(s step) error {
	if len(w.held) == 0 {
		return w.write([]byte("garbage"))
	}
	return w.writeAll(must(logcodec.Records(w.id(1), revision.Checkpoint{Snapshot: w.held[s.A%len(w.held)]})))
}

// writeChunks writes two large proposals, one after the other or interleaved.
func (w *world) writeChunks(s step) error {
	if s.A > 1 || w.large {
		return w.write(nil)
	}
	w.large = true
	a := must(logcodec.Records(w.id(1), w.draft(w.id(1), 0, largePath)))
	if s.A > 0 {
		return w.writeAll(a[:1+s.B%len(a)])
	}
	b := must(logcodec.Records(w.id(1), w.draft(w.id(1), 0, largePath+"b")))
	n := s.B % (len(a) + 1)
	return w.writeAll(append(a[:n], append(b, a[n:]...)...))
}

// restart makes a reader know nothing, and then start from the log if it can.
func (w *world) restart(i int) error {
	w.readers[i] = revision.New(decode)
	w.floors[i] = 0
	s, err := w.boot(w.first, w.retained())
	var cannot *revision.IncompleteLogError
	if errors.As(err, &cannot) {
		return nil
	}
	w.readers[i] = s
	return err
}

func (w *world) apply(i int, records []revision.Record) error {
	for _, r := range records {
		if err := w.noteWinner(w.readers[i].Apply(r)); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads some records, or starts again when they are truncated.
func (w *world) readLog(s step) error {
	from := w.readers[s.Reader].AsOf() + 1
	if from < w.first {
		return w.restart(s.Reader)
	}
	to := min(from+int64(s.A/2), int64(len(w.records)))
	return w.apply(s.Reader, w.records[from:to])
}

// readPeer applies records that a peer has, late, repeated or after a gap.
func (w *world) readPeer(s step) error {
	have := w.readers[s.A%readers].AsOf() + 1
	from := max(0, w.readers[s.Reader].AsOf()+1+int64(s.B)-4)
	if from >= have {
		return nil
	}
	return w.apply(s.Reader, w.records[from:have])
}

func (w *world) adopt(to, from int) error {
	_, err := w.readers[to].Adopt(w.readers[from].Snapshot())
	return err
}

func (w *world) check(i int) error {
	s := w.readers[i]
	if got, want := w.digest(s), w.truth[s.AsOf()+1]; got != want {
		return errors.Errorf("reader %d as of %d: revision %d chain %s, want revision %d chain %s", i, s.AsOf(), got.revision, got.chain, want.revision, want.chain)
	}
	if s.Revision() < w.floors[i] {
		return errors.Errorf("reader %d went from revision %d to %d", i, w.floors[i], s.Revision())
	}
	w.floors[i] = s.Revision()
	return nil
}

func rightBoot(first int64, retained []revision.Record) (*revision.State, error) {
	b := revision.NewBootstrap(decode)
	b.SetFirstRetained(first)
	for _, r := range retained {
		b.Observe(r)
	}
	return b.InitialState()
}

// wrongBoot adopts the last checkpoint at its position in the log and goes on
// from there.
func wrongBoot(first int64, retained []revision.Record) (*revision.State, error) {
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

// TestReadersAgree guards against two hosts with different configurations as
// of the same offset, a revision that goes down, and two accepted proposals
// for one base.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(schedules.Draw(t, "schedule"), rightBoot, true); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAgreementFindsWrongRule guards against an agreement test that accepts
// the rule which the design page calls wrong.
func TestAgreementFindsWrongRule(t *testing.T) {
	const tries = 300
	for seed := range tries {
		if err := run(schedules.Example(seed), wrongBoot, false); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no disagreement in %d schedules", tries)
}
