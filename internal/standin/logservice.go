package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LogFaults configures fault injection for the log service.
type LogFaults struct {
	// Outage rejects every request with 503.
	Outage bool `json:"outage"`
	// DelayMs delays every request by this many milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseAcks is the number of upcoming appends that are stored but whose
	// connection is closed without a response.
	LoseAcks int `json:"lose_acks"`
	// DropAppends is the number of upcoming appends that are discarded and whose
	// connection is closed without a response.
	DropAppends int `json:"drop_appends"`
	// HoldAppendsMs stores appends only after this many milliseconds; the
	// connection is closed immediately, without a response.
	HoldAppendsMs int `json:"hold_appends_ms"`
}

// LogRecord is a record in a read response.
type LogRecord struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// maxRecordBytes is the size of the largest record that the log service accepts.
const maxRecordBytes = 1 << 20

// LogService simulates the platform's append-only log with offsets and limited
// retention.
type LogService struct {
	// MaxRecords and MaxAge limit retention; 0 means unlimited.
	MaxRecords int
	MaxAge     time.Duration

	mu       sync.Mutex
	faults   LogFaults
	first    int64
	records  []LogRecord
	appended chan struct{}
}

// NewLogService returns an empty log.
func NewLogService() *LogService { return &LogService{appended: make(chan struct{})} }

// Handler returns the HTTP handler of the log service.
func (l *LogService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/append", l.serveAppend)
	mux.HandleFunc("GET /v1/log/records", l.serveRecords)
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, l.faults)
	})
	mux.HandleFunc("PUT "+FaultPath, func(w http.ResponseWriter, r *http.Request) {
		var f LogFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(f)
	})
	return mux
}

// SetFaults replaces the configured faults.
func (l *LogService) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append adds a record and returns its offset.
func (l *LogService) Append(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, LogRecord{Offset: offset, TimeMs: time.Now().UnixMilli(), Data: data})
	l.applyRetention()
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

func (l *LogService) applyRetention() {
	drop := 0
	if l.MaxRecords > 0 {
		drop = max(0, len(l.records)-l.MaxRecords)
	}
	if l.MaxAge > 0 {
		oldest := time.Now().Add(-l.MaxAge).UnixMilli()
		for drop < len(l.records) && l.records[drop].TimeMs < oldest {
			drop++
		}
	}
	l.first += int64(drop)
	l.records = append([]LogRecord(nil), l.records[drop:]...)
}

// applyFaults applies the configured delay and outage and returns the faults for
// this append. It decrements LoseAcks and DropAppends if they are greater than 0.
// It returns false after rejecting the request.
func (l *LogService) applyFaults(w http.ResponseWriter) (LogFaults, bool) {
	l.mu.Lock()
	f := l.faults
	if l.faults.LoseAcks > 0 {
		l.faults.LoseAcks--
	}
	if l.faults.DropAppends > 0 {
		l.faults.DropAppends--
	}
	l.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Outage {
		http.Error(w, "log service unavailable", http.StatusServiceUnavailable)
		return f, false
	}
	return f, true
}

func (l *LogService) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f, ok := l.applyFaults(w)
	switch {
	case !ok:
		return
	case f.HoldAppendsMs > 0:
		time.AfterFunc(time.Duration(f.HoldAppendsMs)*time.Millisecond, func() { l.Append(data) })
		panic(http.ErrAbortHandler)
	case f.DropAppends > 0:
		panic(http.ErrAbortHandler)
	}
	offset := l.Append(data)
	if f.LoseAcks > 0 {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (l *LogService) serveRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(query.Get("limit"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	l.mu.Lock()
	f, appended := l.faults, l.appended
	end := l.first + int64(len(l.records))
	l.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Outage {
		http.Error(w, "log service unavailable", http.StatusServiceUnavailable)
		return
	}
	if from >= end && waitMs > 0 {
		select {
		case <-appended:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, l.read(from, limit))
}

// LogBatch is the response to a read.
type LogBatch struct {
	// First is the lowest retained offset. Next is the offset after that of the
	// newest record.
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

func (l *LogService) read(from int64, limit int) LogBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyRetention()
	b := LogBatch{First: l.first, Next: l.first + int64(len(l.records)), Records: []LogRecord{}}
	start := max(from, l.first) - l.first
	if start < int64(len(l.records)) {
		b.Records = l.records[start:]
	}
	if limit > 0 && len(b.Records) > limit {
		b.Records = b.Records[:limit]
	}
	return b
}
