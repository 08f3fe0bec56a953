package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition each.
type store struct {
	mu       sync.Mutex
	topics   map[string][]record
	appended chan struct{}
	address  string
	// keep is the time after which records expire, except the newest one of each key; 0: never.
	keep time.Duration
}

type record struct {
	key   string
	value []byte
	at    time.Time
}

func startStore(keep time.Duration) *store {
	s := &store{keep: keep, topics: map[string][]record{}, appended: make(chan struct{})}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

func (s *store) put(topic, key string, value any) {
	data := []byte(nil)
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.append(topic, []record{{key: key, value: data}})
}

func (s *store) append(topic string, records []record) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	for i := range records {
		records[i].at = time.Now()
	}
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, len(s.topics[topic])
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r, topic)
	case "GET /api/log-read":
		s.serveRead(w, r, topic)
	case "GET /api/log-newest":
		s.serveNewest(w, r, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		http.Error(w, "read-only topic", http.StatusForbidden)
		return
	}
	var records []record
	for len(data) >= 5 {
		n, k := int(binary.BigEndian.Uint32(data)), int(data[4])
		if n > len(data)-4 || k > n-1 {
			http.Error(w, "malformed record", http.StatusBadRequest)
			return
		}
		records = append(records, record{key: string(data[5 : 5+k]), value: append([]byte(nil), data[5+k:4+n]...)})
		data = data[4+n:]
	}
	offset, end := s.append(topic, records)
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		records, appended := s.topics[topic], s.appended
		s.mu.Unlock()
		first := s.first(records)
		if from < first {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": first})
			return
		}
		if from < len(records) || expired || waitMs == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// first returns the offset of the first record that has not expired.
func (s *store) first(records []record) int {
	if s.keep <= 0 {
		return 0
	}
	oldest := time.Now().Add(-s.keep)
	return sort.Search(len(records), func(i int) bool { return records[i].at.After(oldest) })
}

// newestPage is the number of records in one page of the newest records.
const newestPage = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	newest, end := map[string]item{}, len(s.topics[topic])
	for offset, rec := range s.topics[topic] {
		if len(rec.value) == 0 {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{rec.key, rec.value, offset}
	}
	s.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	hasMore := len(items) > newestPage
	writeJSON(w, map[string]any{"items": items[:min(len(items), newestPage)], "hasMore": hasMore, "end": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	prefix, kind, service string
	timeout, objective    time.Duration
	maxAttempts           int
}

// routeHost is the host name of all routes.
const routeHost = "callers.example"

// putConfiguration writes a configuration as the operator does.
func (s *store) putConfiguration(version int, routes []routeSpec) {
	type m = map[string]any
	resources := []m{{"resourceKind": "limits", "metadata": m{"name": "limits"},
		"spec": m{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}}}
	services := map[string]bool{}
	for i, r := range routes {
		if !services[r.service] {
			services[r.service] = true
			resources = append(resources, m{"resourceKind": "services", "metadata": m{"name": r.service},
				"spec": m{"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false}})
		}
		resources = append(resources, m{"resourceKind": "routes", "metadata": m{"name": fmt.Sprintf("r%d", i)},
			"spec": m{"host": routeHost, "pathPrefix": r.prefix, "kind": r.kind, "service": r.service, "timeout": r.timeout.String(),
				"targetLatency": r.objective.String(), "priority": 1, "maxAttempts": r.maxAttempts}})
	}
	s.put("keyed.op", "config", m{"version": fmt.Sprintf("%08x", version), "resources": resources})
}
