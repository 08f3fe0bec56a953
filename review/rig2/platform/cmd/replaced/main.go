// Command replaced replaces all machines of a small deployment several times, ends the process that coordinates
// the last ones and changes the configuration.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"reviewrig2/rig"
)

const (
	zone, region = "cairo-maadi", "cairo"
	// live is the number of machines in use at the end.
	live = 4
	// configApply is the users' bound, stability the time after which machines are in touch.
	configApply = 2500 * time.Millisecond
	stability   = 4 * time.Second
	watched     = 12 * time.Second
)

func main() { os.Exit(run()) }

func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func run() int {
	generations, each := number("GENERATIONS", 6), number("EACH", 50)
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
	routes := []rig.Route{{Name: "r-lookup", Prefix: "/lookup/", Kind: "safe", Service: "errata-old", Timeout: 6 * time.Second}, {Name: "r-other", Prefix: "/other/", Kind: "safe", Service: "errata-new", Timeout: 6 * time.Second}}
	store.PutConfiguration(3, routes)
	targets := map[string]*rig.Target{}
	for _, service := range []string{"errata-old", "errata-new"} {
		for i := range 2 {
			t := &rig.Target{ID: fmt.Sprintf("i-%s%d", service, i), Service: service, Zone: zone, Slots: 6, Work: 5 * time.Millisecond}
			targets[t.ID] = t
			if err := rig.StartTarget(store, t, log); err != nil {
				log.Say("target: %v", err)
				return rig.NotRun
			}
		}
	}
	number := 0
	for generation := range generations {
		if !replaceAll(fleet, store, &number, each, generation == 0, log) {
			return rig.NotRun
		}
	}
	var hosts []*rig.Host
	for range live {
		h := fleet.Add(fmt.Sprintf("edge-cairo-maadi-%d", number+1), zone, number)
		number++
		hosts = append(hosts, h)
		if err := h.Start(false); err != nil {
			log.Say("host: %v", err)
			return rig.NotRun
		}
	}
	if !rig.AwaitReady(hosts, 20*time.Second) {
		log.Say("the last hosts are not ready")
		return rig.NotRun
	}
	for end := time.Now().Add(15 * time.Second); store.Keys(rig.HostTopic) < number; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			log.Say("the last hosts are not in the store")
			return rig.NotRun
		}
	}
	time.Sleep(2 * stability)
	log.Say("%d machines in use, %d hosts in the store", live, store.Keys(rig.HostTopic))
	survivors := hosts
	if rig.Trouble() {
		survivors = nil
		for _, h := range hosts {
			if h.Name == coordinatorOf(hosts[0]) {
				log.Say("kill of %s, which reads and writes the store for the others", h.Name)
				h.Signal(syscall.SIGKILL)
				h.Kill()
			} else {
				survivors = append(survivors, h)
			}
		}
		if len(survivors) != live-1 {
			log.Say("the coordinator is not known")
			return rig.NotRun
		}
	}
	routes[0].Service = "errata-new"
	acknowledged := store.PutConfiguration(7, routes)
	log.Say("configuration 7 acknowledged: r-lookup goes to errata-new")
	return judge(survivors, targets, acknowledged, log)
}

// replaceAll starts a generation of machines, waits until the store lists them, and removes them.
func replaceAll(fleet *rig.Fleet, store *rig.Store, number *int, each int, bootstrap bool, log *rig.Recorder) bool {
	var hosts []*rig.Host
	for range each {
		h := fleet.Add(fmt.Sprintf("edge-cairo-maadi-%d", *number+1), zone, *number)
		*number++
		hosts = append(hosts, h)
		if err := h.Start(bootstrap); err != nil {
			log.Say("host: %v", err)
			return false
		}
	}
	for end := time.Now().Add(20 * time.Second); store.Keys(rig.HostTopic) < *number; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			log.Say("%d of %d hosts are in the store", store.Keys(rig.HostTopic), *number)
			return false
		}
	}
	for _, h := range hosts {
		h.Kill()
	}
	log.Say("%d machines were removed for good, %d hosts in the store", each, store.Keys(rig.HostTopic))
	return true
}

// coordinatorOf returns the host that another one follows, by its log.
func coordinatorOf(h *rig.Host) string {
	name := ""
	for line := range strings.Lines(h.Log()) {
		if !strings.Contains(line, "event=coordinator_changed") {
			continue
		}
		for _, field := range strings.Fields(line) {
			if value, ok := strings.CutPrefix(field, "coordinator="); ok {
				name = value
			}
		}
	}
	return name
}

// judge sends lookups to each host and counts those that the old service ran though they were sent later than
// configApply after the acknowledgement.
func judge(hosts []*rig.Host, targets map[string]*rig.Target, acknowledged time.Time, log *rig.Recorder) int {
	var mu sync.Mutex
	late, answered := 0, 0
	lastOld := time.Duration(0)
	var sending sync.WaitGroup
	for _, h := range hosts {
		sending.Go(func() {
			var c *rig.Conn
			for time.Since(acknowledged) < watched {
				time.Sleep(50 * time.Millisecond)
				if !c.Usable() {
					var err error
					if c, err = rig.Dial(h.Front()); err != nil {
						c = nil
						continue
					}
				}
				id := rig.NewID()
				sent := time.Since(acknowledged)
				a := c.Do(rig.Request{ID: id, Method: "GET", Path: "/lookup/2f", Deadline: 6 * time.Second})
				log.Printf("lookup id=%s host=%s sent=%.3fs status=%d signature=%s err=%v", id, h.Name, sent.Seconds(), a.Status, a.Signature, a.Err)
				mu.Lock()
				if a.Status == 200 {
					answered++
				}
				for _, t := range targets {
					if t.Service != "errata-old" || len(t.Runs(id)) == 0 {
						continue
					}
					lastOld = max(lastOld, sent)
					if sent > configApply {
						late++
					}
				}
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	log.Say("%d lookups answered; the last one that the old service ran was sent %.2f s after the acknowledgement", answered, lastOld.Seconds())
	log.Say("lookups sent later than %.1f s after the acknowledgement and run by the old service: %d", configApply.Seconds(), late)
	for _, h := range hosts {
		for line := range strings.Lines(h.Log()) {
			if strings.Contains(line, "coordinator_changed") {
				log.Printf("%s: %s", h.Name, strings.TrimSpace(line))
			}
		}
	}
	switch {
	case answered == 0:
		return rig.NotRun
	case late > 0:
		return rig.Broken
	}
	return rig.Held
}
