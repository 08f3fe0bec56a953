package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestRequestOfRemovedClass guards against requests that are refused because their class was
// removed after the host had accepted them. The class of a route has another name when its
// timeout changes, so every change of a timeout refused the requests whose body was being
// read, or that arrived while the configuration was activated.
func TestRequestOfRemovedClass(t *testing.T) {
	cfg := config(hostZone, hostZone)
	f := newFixture(t, cfg)
	without := cfg
	without.Classes = slices.DeleteFunc(slices.Clone(cfg.Classes), func(c dispatch.Class) bool { return c.Name == "order" })
	f.apply(f.Configure(f.now, without))
	f.now = f.now.Add(10 * time.Second)
	f.apply(f.Configure(f.now, without))
	if r := f.arrive("order"); f.runningTarget(r) == "" {
		t.Errorf("a request accepted before its class was removed ends with %+v", f.ends[r])
	}
	f.now = f.now.Add(removedClassTime)
	f.apply(f.Configure(f.now, without))
	if len(f.removedClasses) > 0 {
		t.Errorf("%d removed classes are kept longer than %s", len(f.removedClasses), removedClassTime)
	}
	if r := f.arrive("order"); f.runningTarget(r) != "" {
		t.Error("a request of a class that was removed long ago is started")
	}
}
