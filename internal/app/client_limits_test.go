package app

import (
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// TestClientLimitsFitProcess guards against limits that together exceed the memory or the descriptors of a
// process, or that refuse the largest legal body on an idle host.
func TestClientLimitsFitProcess(t *testing.T) {
	for _, process := range []struct {
		memory int64
		files  int
	}{{184 << 20, 4100}, {284 << 20, 4100}, {536 << 20, 8192}} {
		l := NewClientLimits(process.memory, process.files)
		unread := int64(2 * l.MaxUnreadResponses * (l.ReceiveBuffer + l.ResponseSendBuffer + l.TargetBodyReceiveBuffer))
		if l.BudgetBytes+unread > process.memory*3/4 {
			t.Errorf("%d MB: a budget of %d MB and %d MB of unread bytes", process.memory>>20, l.BudgetBytes>>20, unread>>20)
		}
		if sockets := l.CallerConnections*17/16 + l.DirectoryConnections + l.TargetConnections + l.AdminConnections + l.PeerConnections; sockets > (process.files-reservedFiles)*49/50 {
			t.Errorf("%d descriptors: %d sockets leave nothing for hosts and the store", process.files, sockets)
		}
		if budget := l.budget(); !budget.Take(membudget.Bodies, 64<<20) {
			t.Errorf("%d MB: a body of 64 MiB has no room", process.memory>>20)
		}
	}
	if l := NewClientLimits(0, 0); l != (ClientLimits{}) {
		t.Errorf("limits without known resources: %+v", l)
	}
}

// TestBallastYieldsToClients guards against a ballast that takes the memory limit of the runtime while
// clients hold memory, and against one that does not return.
func TestBallastYieldsToClients(t *testing.T) {
	var b heapMemory
	b.setPressure(false)
	b.setServing(true)
	if b.ballast == nil {
		t.Error("no ballast while the host serves")
	}
	b.setPressure(true)
	b.setServing(true)
	if b.ballast != nil {
		t.Error("a ballast while clients hold memory")
	}
	b.setPressure(false)
	if b.ballast == nil {
		t.Error("the ballast does not return")
	}
	b.setServing(false)
	if b.ballast != nil {
		t.Error("a ballast on a passive host")
	}
}
