package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

func limitedEntry(rate float64, start int64) Entry {
	return Entry{Target: "t", StartUnixMilli: start, Limit: heard(rate, 0, 1)}
}

// handOutFor repeats the wants of hosts every 100 ms and returns the permits that each got.
func handOutFor(a *Allocator, from time.Time, d time.Duration, share float64, hosts, permits int, e Entry) map[ident.HostID]int {
	got := map[ident.HostID]int{}
	for at := time.Duration(0); at < d; at += 50 * time.Millisecond {
		now := from.Add(at)
		for i := 0; at%(100*time.Millisecond) == 0 && i < hosts; i++ {
			host := ident.HostID(fmt.Sprint("h", i))
			for _, g := range a.Want(now, share, host, 1, []Want{{Entry: e, Permits: permits}}) {
				got[host] += g.Permits
			}
		}
		for _, delivery := range a.Tick(now, share) {
			for _, g := range delivery.Granted {
				got[delivery.To] += g.Permits
			}
		}
	}
	return got
}

func sum(got map[ident.HostID]int) int {
	n := 0
	for _, permits := range got {
		n += permits
	}
	return n
}

// TestAllocatorKeepsRate guards against an allocator that hands out more than the rate, or
// much less, or all of it to one host.
func TestAllocatorKeepsRate(t *testing.T) {
	for _, c := range []struct {
		rate, share float64
		hosts       int
	}{{1, 1, 36}, {1, 1, 293}, {100, 1, 4}, {100, 0.5, 36}, {3.4, 1, 10}, {0, 1, 3}} {
		a := NewAllocator()
		const d = 20 * time.Second
		got := handOutFor(a, epoch, d, c.share, c.hosts, 3, limitedEntry(c.rate, 0))
		want := max(MinRate, c.rate) * c.share * d.Seconds()
		if n := float64(sum(got)); n > want || n < 0.9*want-1 {
			t.Errorf("%+v: %v permits in %v, want about %v", c, n, d, want)
		}
		most := 0
		for _, n := range got {
			most = max(most, n)
		}
		if fair := want/float64(c.hosts) + 3; float64(most) > fair+1 {
			t.Errorf("%+v: one host got %d, want at most %.0f", c, most, fair+1)
		}
	}
}

// TestAllocatorStartsEmpty guards against a new allocator, or one that was paused, that
// hands out permits for the time before.
func TestAllocatorStartsEmpty(t *testing.T) {
	a := NewAllocator()
	if got := a.Want(epoch, 1, "h", 1, []Want{{Entry: limitedEntry(100, 0), Permits: 100}}); got[0].Permits != 0 {
		t.Errorf("a new allocator handed out %d permits", got[0].Permits)
	}
	later := epoch.Add(10 * time.Second)
	if got := a.Want(later, 1, "h", 2, []Want{{Entry: limitedEntry(100, 0), Permits: 100}}); got[0].Permits > 25 {
		t.Errorf("after a pause of 10 s the allocator handed out %d permits at once, want at most %v of the rate", got[0].Permits, burstTime)
	}
}

// TestAllocatorDropsEarlierProcess guards against a limit that outlasts the process of the
// target that stated it.
func TestAllocatorDropsEarlierProcess(t *testing.T) {
	a := NewAllocator()
	a.Want(epoch, 1, "h", 1, []Want{{Entry: limitedEntry(1, 100)}})
	restarted := Entry{Target: "t", StartUnixMilli: 200}
	if got := a.Want(epoch, 1, "h", 2, []Want{{Entry: restarted}}); got[0].Limit.Limited {
		t.Error("the limit of the earlier process still holds")
	}
	if got := a.Want(epoch, 1, "h", 3, []Want{{Entry: limitedEntry(1, 100)}}); len(got) != 0 {
		t.Errorf("a want for the earlier process was answered: %+v", got)
	}
}

// TestAllocatorForgetsWants guards against permits that go to a host that has stopped
// asking for them.
func TestAllocatorForgetsWants(t *testing.T) {
	a := NewAllocator()
	a.Want(epoch, 1, "h", 1, []Want{{Entry: limitedEntry(1, 0), Permits: 5}})
	if got := a.Tick(epoch.Add(wantLifetime+time.Second), 1); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// TestExchangeAcceptsOnce guards against permits that are used twice because a datagram
// arrived twice, and against those of an earlier process of host or allocator.
func TestExchangeAcceptsOnce(t *testing.T) {
	x, allocator := NewExchange(1000), NewExchange(0)
	request := x.NewRequest(epoch, nil)
	first, second := allocator.NewResponse(request.Sequence, nil), allocator.NewResponse(request.Sequence, nil)
	if at, ok := x.Accept("a", 1, second); !ok || at != epoch {
		t.Errorf("response not accepted: %v %v", at, ok)
	}
	for name, r := range map[string]Response{"duplicate": second, "overtaken": first} {
		if _, ok := x.Accept("a", 1, r); ok {
			t.Errorf("%s response accepted", name)
		}
	}
	if _, ok := x.Accept("a", 2, first); !ok {
		t.Error("the first response of a restarted allocator was not accepted")
	}
	if _, ok := x.Accept("a", 1, allocator.NewResponse(request.Sequence, nil)); ok {
		t.Error("a response of the earlier process of an allocator was accepted")
	}
	if _, ok := x.Accept("b", 1, Response{Sequence: 7, Number: 1}); ok {
		t.Error("a response to an earlier process of this host was accepted")
	}
}

// TestHolderDropsLatePermits guards against permits that were under way while their host or
// the network stood still and are used in addition to later ones.
func TestHolderDropsLatePermits(t *testing.T) {
	var h Holder
	h.Merge(heard(10, 0, 1))
	h.Add(epoch.Add(minPermitLifetime), epoch, 5, 1)
	if n := h.Permits(epoch.Add(minPermitLifetime)); n != 0 {
		t.Errorf("%d permits of a late response are in stock", n)
	}
	h.Add(epoch, epoch, 5, 1)
	if n := h.Permits(epoch.Add(minPermitLifetime - 1)); n != 5 {
		t.Errorf("%d permits in stock, want 5", n)
	}
	if h.Allows(epoch.Add(minPermitLifetime)) {
		t.Error("expired permits allow a request")
	}
}

// TestHolderWithoutLimit guards against a target without a limit, or whose limit ended,
// that needs permits.
func TestHolderWithoutLimit(t *testing.T) {
	var h Holder
	if !h.Allows(epoch) || h.Missing(epoch) != 0 {
		t.Error("a target that never stated a rate needs permits")
	}
	h.Merge(heard(1, 0, 1))
	h.AddDemand(epoch)
	if h.Allows(epoch) || h.Missing(epoch) != 1 {
		t.Errorf("a limited target allows %v, %d permits are missing", h.Allows(epoch), h.Missing(epoch))
	}
	h.Merge(heard(-1, 2, 3))
	if !h.Allows(epoch) || h.Missing(epoch) != 0 {
		t.Error("a target whose limit ended needs permits")
	}
}

// TestAllocatorCountsHostsWithDemand guards against hosts that only tell of a limit and
// make the part of the others look smaller, so that these refuse requests.
func TestAllocatorCountsHostsWithDemand(t *testing.T) {
	a := NewAllocator()
	for i := range 10 {
		a.Want(epoch, 1, ident.HostID(fmt.Sprint("h", i)), 1, []Want{{Entry: limitedEntry(1, 0)}})
	}
	if got := a.Want(epoch, 1, "h", 1, []Want{{Entry: limitedEntry(1, 0), Permits: 1}}); got[0].Hosts != 1 {
		t.Errorf("%d hosts share the rate, want 1", got[0].Hosts)
	}
}
