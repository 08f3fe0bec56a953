// Command memory sends large uploads to hosts whose memory the platform limits, beside small non-idempotent
// requests on kept connections.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reviewrig2/rig"
)

const (
	zone, region = "cairo-maadi", "cairo"
	// clerks send small requests, archivists large ones.
	clerks  = 12
	settle  = 6 * time.Second
	rounds  = 3
	allowed = 3
)

func main() { os.Exit(run()) }

func run() int {
	archivists, bodyBytes := number("ARCHIVISTS", 4), int64(number("BODY", 60_000_000))
	if !rig.Trouble() {
		bodyBytes = 360_000
	}
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
		{Name: "r-issue", Prefix: "/issue/", Kind: "unsafe", Service: "notice-press", Timeout: 6 * time.Second, Priority: 1},
		{Name: "r-proofs", Prefix: "/proofs/", Kind: "upload", Service: "proof-vault", Timeout: 6 * time.Second, Priority: 1},
	})
	var press, vault []*rig.Target
	for i := range 3 {
		p := &rig.Target{ID: fmt.Sprintf("i-press%d", i), Service: "notice-press", Zone: zone, Slots: 6, Work: 460 * time.Millisecond}
		v := &rig.Target{ID: fmt.Sprintf("i-vault%d", i), Service: "proof-vault", Zone: zone, Slots: 6, Work: 550 * time.Millisecond}
		press, vault = append(press, p), append(vault, v)
		for _, t := range []*rig.Target{p, v} {
			if err := rig.StartTarget(store, t, log); err != nil {
				log.Say("target: %v", err)
				return rig.NotRun
			}
		}
	}
	var hosts []*rig.Host
	for i := range 4 {
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
	stop := make(chan struct{})
	var watching, working sync.WaitGroup
	var exceeded atomic.Int64
	for _, h := range hosts {
		watching.Go(func() { watchMemory(h, stop, &exceeded, log) })
	}
	time.Sleep(settle)
	var lost, answered, uploads, uploaded atomic.Int64
	for range clerks {
		working.Go(func() { clerk(hosts, press, stop, &lost, &answered, log) })
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		var sending sync.WaitGroup
		for range archivists {
			sending.Go(func() {
				uploads.Add(1)
				if archivist(hosts, round, bodyBytes, log) {
					uploaded.Add(1)
				}
			})
		}
		sending.Wait()
		time.Sleep(4 * time.Second)
	}
	close(stop)
	working.Wait()
	watching.Wait()
	log.Say("%d of %d uploads of %d bytes answered with success, %d small requests answered", uploaded.Load(), uploads.Load(), bodyBytes, answered.Load())
	log.Say("processes over %d MB: %d", rig.MemoryMb, exceeded.Load())
	log.Say("requests of kept connections that an upstream ran and whose connection ended without an answer: %d, allowed %d", lost.Load(), allowed)
	if answered.Load() == 0 {
		return rig.NotRun
	}
	if lost.Load() > allowed {
		return rig.Broken
	}
	return rig.Held
}

// watchMemory kills a process that exceeds its memory and starts it again, as the platform does.
func watchMemory(h *rig.Host, stop <-chan struct{}, exceeded *atomic.Int64, log *rig.Recorder) {
	peak := int64(0)
	for {
		select {
		case <-stop:
			log.Say("%s: peak memory %d MB", h.Name, peak>>20)
			return
		case <-time.After(5 * time.Millisecond):
		}
		m := h.Memory()
		peak = max(peak, m)
		if m > rig.MemoryMb<<20 {
			log.Say("%s: %d MB, more than %d MB: killed by the platform", h.Name, m>>20, rig.MemoryMb)
			exceeded.Add(1)
			h.Signal(syscall.SIGKILL)
			h.Kill()
			time.Sleep(500 * time.Millisecond)
			if err := h.Start(false); err != nil {
				log.Say("%s: %v", h.Name, err)
			}
		}
	}
}

// connect opens a connection to a host that the directory names.
func connect(hosts []*rig.Host, n int) *rig.Conn {
	for i := range hosts {
		for _, address := range rig.Resolve(hosts[(n+i)%len(hosts)], region, zone) {
			if c, err := rig.Dial(address); err == nil {
				return c
			}
		}
	}
	return nil
}

// clerk sends small requests on a kept connection, one after the other.
func clerk(hosts []*rig.Host, press []*rig.Target, stop <-chan struct{}, lost, answered *atomic.Int64, log *rig.Recorder) {
	var c *rig.Conn
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if !c.Usable() {
			if c = connect(hosts, n); c == nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		id := rig.NewID()
		a := c.Do(rig.Request{ID: id, Method: "POST", Path: "/issue/n", Body: rig.Zeros(4000), BodyBytes: 4000, Deadline: 6 * time.Second})
		log.Printf("issue id=%s kept=%t status=%d signature=%s err=%v", id, a.Kept, a.Status, a.Signature, a.Err)
		runs := 0
		for _, t := range press {
			runs += len(t.Runs(id))
		}
		switch {
		case a.Status == 200:
			answered.Add(1)
		case a.Status == 0 && a.Kept && runs > 0:
			lost.Add(1)
			log.Say("lost: request %s ran at an upstream and its connection ended without an answer: %v", id, a.Err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// archivist sends one upload on a new connection.
func archivist(hosts []*rig.Host, n int, size int64, log *rig.Recorder) bool {
	c := connect(hosts, n)
	if c == nil {
		return false
	}
	defer c.Close()
	id := rig.NewID()
	a := c.Do(rig.Request{ID: id, Method: "POST", Path: "/proofs/p", Body: rig.Zeros(size), BodyBytes: size, Deadline: 6 * time.Second})
	log.Printf("proofs id=%s bytes=%d status=%d err=%v", id, size, a.Status, a.Err)
	return a.Status == 200
}

func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}
