// Package rig has the stand-ins of the review's scripts: the platform's store, upstreams and requesters, and
// the start of the project's hosts as processes.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Recorder writes the record of a script.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecorder creates the record.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Printf writes one line with the time since the start.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes one line to the record and to standard output.
func (r *Recorder) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
