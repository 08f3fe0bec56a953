package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// A registration that lapses and returns names the same process. What the process said
// must not be forgotten in between.
func TestStatementsOutlastRemoval(t *testing.T) {
	now := time.Unix(1000, 0)
	p := Process{Target: "t1", StartUnixMilli: 7}
	m := newProcessMemory()
	m.configure(now, []Process{p})
	st := m.recordStatement(now, p)
	m.configure(now, nil)
	if got := m.configure(now.Add(time.Minute), []Process{p}); got[0] != st {
		t.Error("the statements of a process are forgotten while its registration lapses")
	}
	if got := m.configure(now, []Process{{Target: "t1", StartUnixMilli: 8}}); got[0] == st || got[0].hasStatement {
		t.Error("a new process under the same ID inherits the statements of an earlier one")
	}
	if got := m.configure(now, []Process{p}); got[0] != st {
		t.Error("the statements of a process are forgotten when another one is configured under its ID")
	}
}

// A process may answer earlier requests after its target was removed. Its statement must
// hold when the target is back.
func TestStatementOfRemovedProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	p := Process{Target: "t1", StartUnixMilli: 7}
	m := newProcessMemory()
	m.configure(now, []Process{p})
	m.configure(now, nil)
	st := m.recordStatement(now, p)
	if got := m.configure(now, []Process{p}); got[0] != st {
		t.Error("a statement that arrived after the removal is forgotten")
	}
}

// Processes without a start time cannot be told apart from their successors.
func TestStatementsOfUnknownStart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := Process{Target: "t1"}
	m := newProcessMemory()
	m.configure(now, []Process{p})
	m.recordStatement(now, p)
	if got := m.configure(now, []Process{p}); !got[0].hasStatement {
		t.Error("the statements of a configured process are forgotten")
	}
	m.configure(now, nil)
	if got := m.configure(now, []Process{p}); got[0].hasStatement {
		t.Error("a process of unknown start inherits the statements of a removed one")
	}
}

// The memory must not grow with the processes that come and go.
func TestProcessMemoryIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	process := func(i int) Process { return Process{Target: ident.TargetID(fmt.Sprint("t", i)), StartUnixMilli: 1} }
	m := newProcessMemory()
	for i := range maxFormerProcesses + 10 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		m.configure(now, []Process{process(i)})
		m.recordStatement(now, process(i))
		m.configure(now, nil)
	}
	if len(m.states) != maxFormerProcesses {
		t.Errorf("%d former processes are kept, want %d", len(m.states), maxFormerProcesses)
	}
	if m.states[process(9)] != nil || m.states[process(10)] == nil {
		t.Error("the processes that were removed first are not those that are forgotten")
	}
	m.configure(start.Add(formerProcessLifetime+time.Minute), nil)
	if len(m.states) != 0 {
		t.Errorf("%d former processes are kept after their lifetime", len(m.states))
	}
	silent := process(1)
	m.configure(start, []Process{silent})
	m.configure(start, nil)
	if len(m.states) != 0 {
		t.Error("a former process that said nothing is kept")
	}
}
