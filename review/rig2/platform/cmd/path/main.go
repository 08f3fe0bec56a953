// Command path sends notices whose paths contain an encoded slash, while an upstream fails a part of its
// requests.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"reviewrig2/rig"
)

const (
	zone, region = "cairo-maadi", "cairo"
	requesters   = 4
	notices      = 1000
	// One of the upstreams at a time fails a part of its requests for a time, as with srv_grey.
	upstreams = 7
	failing   = 40
	grayTime  = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	log, err := rig.NewRecorder(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer log.Close()
	store, err := rig.StartStore("127.0.0.1:0")
	if err != nil {
		log.Say("store: %v", err)
		return rig.NotRun
	}
	fleet, err := rig.NewFleet(store.Address, map[string]string{zone: region}, log)
	if err != nil {
		log.Say("fleet: %v", err)
		return rig.NotRun
	}
	defer fleet.Close()
	fleet.Limit()
	store.PutConfiguration(3, []rig.Route{
		{Name: "r-notices", Prefix: "/notices/", Kind: "unsafe", Service: "notice-press", Timeout: 6 * time.Second, Priority: 1},
		{Name: "r-journal", Prefix: "/notices/10.5555/", Kind: "safe", Service: "notice-press", Timeout: 6 * time.Second, Priority: 2},
	})
	var targets []*rig.Target
	for i := range upstreams {
		t := &rig.Target{ID: fmt.Sprintf("i-press%d", i), Service: "notice-press", Zone: zone, Slots: 6, Work: 20 * time.Millisecond}
		targets = append(targets, t)
		if err := rig.StartTarget(store, t, log); err != nil {
			log.Say("target: %v", err)
			return rig.NotRun
		}
	}
	var hosts []*rig.Host
	for i := range 2 {
		h := fleet.Add(fmt.Sprintf("edge-cairo-maadi-%d", i+1), zone, i)
		hosts = append(hosts, h)
		if err := h.Start(true); err != nil {
			log.Say("host: %v", err)
			return rig.NotRun
		}
	}
	if !rig.AwaitReady(hosts, 10*time.Second) {
		log.Say("the hosts are not ready")
		return rig.NotRun
	}
	time.Sleep(5 * time.Second)
	if rig.Trouble() {
		go failInTurn(targets, log)
	}
	return judge(hosts, targets, log)
}

// failInTurn makes one upstream after the other fail a part of its requests.
func failInTurn(targets []*rig.Target, log *rig.Recorder) {
	for i := 0; ; i++ {
		t := targets[i%len(targets)]
		log.Printf("%s fails %d%% of its requests", t.ID, failing)
		t.SetFailing(failing)
		time.Sleep(grayTime)
		t.SetFailing(0)
	}
}

// judge lets requesters send notices and counts those that ran more than once.
func judge(hosts []*rig.Host, targets []*rig.Target, log *rig.Recorder) int {
	var answered, twice atomic.Int64
	var sending sync.WaitGroup
	for n := range requesters {
		sending.Go(func() {
			for i := range notices {
				send(hosts, targets, n*notices+i, &answered, &twice, log)
			}
		})
	}
	sending.Wait()
	log.Say("%d of %d notices answered with success, %d ran more than once", answered.Load(), requesters*notices, twice.Load())
	switch {
	case answered.Load() == 0:
		return rig.NotRun
	case twice.Load() > 0:
		return rig.Broken
	}
	return rig.Held
}

// send sends one notice on a new connection.
func send(hosts []*rig.Host, targets []*rig.Target, n int, answered, twice *atomic.Int64, log *rig.Recorder) {
	time.Sleep(20 * time.Millisecond)
	addresses := rig.Resolve(hosts[n%len(hosts)], region, zone)
	if len(addresses) == 0 {
		return
	}
	c, err := rig.Dial(addresses[0])
	if err != nil {
		return
	}
	defer c.Close()
	// The path begins with the prefix of r-notices, and not with that of r-journal.
	path := fmt.Sprintf("/notices/10.5555%%2F%d", n)
	r := rig.Request{ID: rig.NewID(), Method: "POST", Path: path, Body: rig.Zeros(4000), BodyBytes: 4000, Deadline: 6 * time.Second}
	a := c.Do(r)
	runs := 0
	for _, t := range targets {
		runs += len(t.Runs(r.ID))
	}
	log.Printf("notice id=%s path=%s status=%d signature=%s runs=%d err=%v", r.ID, r.Path, a.Status, a.Signature, runs, a.Err)
	if a.Status == 200 {
		answered.Add(1)
	}
	if runs > 1 {
		twice.Add(1)
		log.Printf("twice: %s", r.ID)
	}
}
