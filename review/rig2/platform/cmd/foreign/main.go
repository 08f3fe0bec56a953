// Command foreign writes an entry of another writer, from which a field is missing, to the store's list of
// upstreams.
package main

import (
	"fmt"
	"maps"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"reviewrig2/rig"
)

const (
	zone, region = "cairo-maadi", "cairo"
	requesters   = 6
	// The requests are counted in periods after the foreign entry.
	periods = 4
	period  = 3 * time.Second
	// missing is the field that the foreign entry lacks.
	missing = "version"
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
		{Name: "r-lookup", Prefix: "/lookup/", Kind: "safe", Service: "errata-index", Timeout: 6 * time.Second, Priority: 2},
		{Name: "r-issue", Prefix: "/issue/", Kind: "unsafe", Service: "notice-press", Timeout: 6 * time.Second, Priority: 1},
	})
	targets := map[string][]*rig.Target{}
	for _, service := range []string{"errata-index", "notice-press"} {
		for i := range 3 {
			t := &rig.Target{ID: fmt.Sprintf("i-%s%d", service, i), Service: service, Zone: zone, Slots: 6, Work: 100 * time.Millisecond}
			targets[service] = append(targets[service], t)
			if err := rig.StartTarget(store, t, log); err != nil {
				log.Say("target: %v", err)
				return rig.NotRun
			}
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
	stop := make(chan struct{})
	var answered, foreign atomic.Int64
	var sending sync.WaitGroup
	for i := range requesters {
		sending.Go(func() { request(hosts, targets, i%2 == 0, stop, &answered, &foreign, log) })
	}
	time.Sleep(2 * time.Second)
	if rig.Trouble() {
		press := targets["notice-press"][0]
		entry := maps.Clone(press.Record())
		entry["service"] = "errata-index"
		entry["born"] = time.Now().UnixMilli()
		delete(entry, missing)
		store.Put(rig.TargetTopic, press.ID, entry)
		log.Say("another writer writes servers/%s without %s: %v", press.ID, missing, entry)
	}
	for range periods {
		before := foreign.Load()
		time.Sleep(period)
		log.Say("requests run by a service that no configuration allows in %s: %d", period, foreign.Load()-before)
	}
	close(stop)
	sending.Wait()
	log.Say("%d requests answered with success, %d run by a service that no configuration allows", answered.Load(), foreign.Load())
	switch {
	case answered.Load() == 0:
		return rig.NotRun
	case foreign.Load() > 0:
		return rig.Broken
	}
	return rig.Held
}

// request sends lookups or notices on a kept connection, one after the other.
func request(hosts []*rig.Host, targets map[string][]*rig.Target, lookup bool, stop <-chan struct{}, answered, foreign *atomic.Int64, log *rig.Recorder) {
	var c *rig.Conn
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if !c.Usable() {
			addresses := rig.Resolve(hosts[0], region, zone)
			if len(addresses) == 0 {
				continue
			}
			var err error
			if c, err = rig.Dial(addresses[0]); err != nil {
				c = nil
				continue
			}
		}
		r := rig.Request{ID: rig.NewID(), Method: "GET", Path: "/lookup/2f", Deadline: 6 * time.Second}
		other := "notice-press"
		if !lookup {
			r.Method, r.Path, r.Body, r.BodyBytes = "POST", "/issue/2f", rig.Zeros(4000), 4000
			other = "errata-index"
		}
		a := c.Do(r)
		log.Printf("request id=%s path=%s status=%d signature=%s err=%v", r.ID, r.Path, a.Status, a.Signature, a.Err)
		if a.Status == 200 {
			answered.Add(1)
		}
		for _, t := range targets[other] {
			if len(t.Runs(r.ID)) > 0 {
				foreign.Add(1)
				log.Printf("foreign: %s %s was run by %s of %s", r.Method, r.Path, t.ID, t.Service)
			}
		}
	}
}
