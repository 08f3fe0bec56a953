// Command early sends uploads to upstreams that answer before they have read the whole body, keep the
// connection and read on.
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
	uploads      = 24
	atOnce       = 2
	bodyBytes    = 20_000_000
	// pace is the rate at which an upstream stores an upload, in bytes per second.
	pace = 20_000_000
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
		{Name: "r-proofs", Prefix: "/proofs/", Kind: "upload", Service: "proof-vault", Timeout: 6 * time.Second, Priority: 1},
	})
	var archives []*rig.Archive
	for i := range 2 {
		a := &rig.Archive{
			Target: &rig.Target{ID: fmt.Sprintf("i-vault%d", i), Service: "proof-vault", Zone: zone, Slots: 6},
			Early:  rig.Trouble(), BytesPerSecond: pace,
		}
		archives = append(archives, a)
		if err := rig.StartArchive(store, a, log); err != nil {
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
	var next, whole, cut, unanswered atomic.Int64
	var sending sync.WaitGroup
	for range atOnce {
		sending.Go(func() {
			for next.Add(1) <= uploads {
				upload(hosts, archives, &whole, &cut, &unanswered, log)
			}
		})
	}
	sending.Wait()
	log.Say("uploads of %d bytes answered with success: %d stored whole, %d cut; %d not answered with success", bodyBytes, whole.Load(), cut.Load(), unanswered.Load())
	switch {
	case cut.Load() > 0:
		return rig.Broken
	case whole.Load() == 0:
		return rig.NotRun
	}
	return rig.Held
}

// upload sends one upload on a new connection and looks what its upstream got.
func upload(hosts []*rig.Host, archives []*rig.Archive, whole, cut, unanswered *atomic.Int64, log *rig.Recorder) {
	addresses := rig.Resolve(hosts[0], region, zone)
	if len(addresses) == 0 {
		unanswered.Add(1)
		return
	}
	c, err := rig.Dial(addresses[0])
	if err != nil {
		unanswered.Add(1)
		return
	}
	defer c.Close()
	id := rig.NewID()
	a := c.Do(rig.Request{ID: id, Method: "POST", Path: "/proofs/p", Body: rig.Zeros(bodyBytes), BodyBytes: bodyBytes, Deadline: 6 * time.Second})
	log.Printf("proofs id=%s bytes=%d status=%d signature=%s err=%v", id, bodyBytes, a.Status, a.Signature, a.Err)
	if a.Status != 200 {
		unanswered.Add(1)
		return
	}
	// The upstream needs a second to read on.
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, archive := range archives {
			s, ok := archive.Stored(id)
			if !ok {
				continue
			}
			if s.Got == bodyBytes && s.Err == nil {
				whole.Add(1)
			} else {
				cut.Add(1)
				log.Say("request %s was answered with success, and its upstream got %d of %d bytes: %v", id, s.Got, s.Declared, s.Err)
			}
			return
		}
	}
	log.Say("request %s was answered with success, and no upstream has it", id)
	cut.Add(1)
}
