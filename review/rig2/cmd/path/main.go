// Command path sends lookups whose paths contain an encoded slash.
package main

import (
	"fmt"
	"os"
	"time"

	"reviewrig2/rig"
)

const (
	zone, region = "cairo-maadi", "cairo"
	lookups      = 100
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
		{Name: "r-journal", Prefix: "/lookup/10.5555/", Kind: "safe", Service: "proof-vault", Timeout: 6 * time.Second, Priority: 2},
	})
	targets := map[string][]*rig.Target{}
	for _, service := range []string{"errata-index", "proof-vault"} {
		for i := range 2 {
			t := &rig.Target{ID: fmt.Sprintf("i-%s%d", service, i), Service: service, Zone: zone, Slots: 6, Work: 5 * time.Millisecond}
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
	return judge(hosts, targets, log)
}

// path returns the path of a lookup. It begins with the prefix of r-lookup, and not with that of r-journal.
func path(n int) string {
	if rig.Trouble() {
		return fmt.Sprintf("/lookup/10.5555%%2F%d", n)
	}
	return fmt.Sprintf("/lookup/10.5555-%d", n)
}

// judge sends lookups and counts those that the other service ran.
func judge(hosts []*rig.Host, targets map[string][]*rig.Target, log *rig.Recorder) int {
	addresses := rig.Resolve(hosts[0], region, zone)
	if len(addresses) == 0 {
		return rig.NotRun
	}
	var c *rig.Conn
	answered, foreign := 0, 0
	for n := range lookups {
		if !c.Usable() {
			var err error
			if c, err = rig.Dial(addresses[0]); err != nil {
				log.Say("host: %v", err)
				return rig.NotRun
			}
		}
		r := rig.Request{ID: rig.NewID(), Method: "GET", Path: path(n), Deadline: 6 * time.Second}
		a := c.Do(r)
		log.Printf("lookup id=%s path=%s status=%d signature=%s err=%v", r.ID, r.Path, a.Status, a.Signature, a.Err)
		if a.Status == 200 {
			answered++
		}
		for _, t := range targets["proof-vault"] {
			foreign += len(t.Runs(r.ID))
		}
	}
	log.Say("%d of %d lookups answered with success, %d run by a service to which their route does not lead", answered, lookups, foreign)
	switch {
	case answered == 0:
		return rig.NotRun
	case foreign > 0:
		return rig.Broken
	}
	return rig.Held
}
