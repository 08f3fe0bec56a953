package ingress

import (
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// segmentTrimInterval is the time after which segments that were not needed are left to the garbage
// collector.
const segmentTrimInterval = 5 * time.Second

// segmentPool keeps the segments of released bodies for further ones. Otherwise many clients whose bodies
// are refused in turn leave garbage of several times the budget before it is collected.
type segmentPool struct {
	memory *membudget.Budget

	mu   sync.Mutex
	free [][]byte
	// unused is the smallest number of free segments since the last trim.
	unused int
	timer  *time.Timer
}

// get returns an empty segment. Only segments of maxBodySegment are kept.
func (p *segmentPool) get(size int64) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if size != maxBodySegment {
		p.fitBudget()
		return make([]byte, 0, size)
	}
	if len(p.free) == 0 {
		return make([]byte, 0, size)
	}
	last := len(p.free) - 1
	segment := p.free[last]
	p.free[last] = nil
	p.free = p.free[:last]
	p.unused = min(p.unused, last)
	return segment[:0]
}

// put takes segments that are no longer read. It keeps them while they fit into the budget beside what is
// in use.
func (p *segmentPool) put(segments [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := (p.memory.Size()-p.memory.Used())/maxBodySegment - int64(len(p.free))
	for _, s := range segments {
		if cap(s) != maxBodySegment || room <= 0 {
			continue
		}
		room--
		p.free = append(p.free, s)
	}
	if p.timer == nil && len(p.free) > 0 {
		p.timer = time.AfterFunc(segmentTrimInterval, p.trim)
	}
}

// fitBudget drops the free segments that no longer fit into the budget beside what is in use.
// The caller holds the lock.
func (p *segmentPool) fitBudget() {
	room := max(0, (p.memory.Size()-p.memory.Used())/maxBodySegment)
	if int64(len(p.free)) <= room {
		return
	}
	clear(p.free[room:])
	p.free = p.free[:room]
	p.unused = min(p.unused, len(p.free))
}

// trim drops the segments that were not needed since the last trim.
func (p *segmentPool) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	kept := len(p.free) - min(p.unused, len(p.free))
	clear(p.free[kept:])
	p.free = p.free[:kept]
	p.unused = kept
	if kept > 0 {
		p.timer = time.AfterFunc(segmentTrimInterval, p.trim)
	} else {
		p.free = nil
	}
}
