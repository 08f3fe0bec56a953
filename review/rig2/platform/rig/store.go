package rig

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the store that hosts and targets use.
const (
	OperatorTopic = "keyed.op"
	TargetTopic   = "keyed.servers"
	HostTopic     = "keyed.status"
)

// maxPage is the number of records in one page of the newest records.
const maxPage = 500

// appendTime is the time that a partition takes for an append, answerTime that of any answer.
const (
	appendTime = 2 * time.Millisecond
	answerTime = 4 * time.Millisecond
)

// storeRecord is one record of a topic. An empty value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// Store is a stand-in for the platform's metadata store: keyed topics with one partition each.
type Store struct {
	Address string

	mu       sync.Mutex
	topics   map[string][]storeRecord
	appended chan struct{}
}

// StartStore serves a store on address.
func StartStore(address string) (*Store, error) {
	s := &Store{Address: address, topics: map[string][]storeRecord{}, appended: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.Address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
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

// Append adds a record to a topic and returns the time of its acknowledgement.
func (s *Store) Append(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.appended)
	s.appended = make(chan struct{})
	return time.Now()
}

// Put adds a record with a JSON value.
func (s *Store) Put(topic, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Append(topic, key, data)
}

// Keys returns the number of keys of a topic.
func (s *Store) Keys(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[string]bool{}
	for _, r := range s.topics[topic] {
		if len(r.value) > 0 {
			live[r.key] = true
		} else {
			delete(live, r.key)
		}
	}
	return len(live)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == OperatorTopic || topic == TargetTopic {
		http.Error(w, "the system may not write here", http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(data) > 0 {
		if len(data) < 5 || int(binary.BigEndian.Uint32(data)) > len(data)-4 || int(data[4]) > int(binary.BigEndian.Uint32(data))-1 {
			http.Error(w, "malformed record", http.StatusBadRequest)
			return
		}
		length, keyLength := int(binary.BigEndian.Uint32(data)), int(data[4])
		records = append(records, storeRecord{string(data[5 : 5+keyLength]), slices.Clone(data[5+keyLength : 4+length])})
		data = data[4+length:]
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	first := len(s.topics[topic])
	s.mu.Unlock()
	for _, record := range records {
		s.Append(topic, record.key, record.value)
	}
	writeJSON(w, map[string]int{"offset": first, "end": first + len(records)})
}

// serveRead waits for a record at or after the offset and returns the records from there on.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		records, appended := s.topics[topic], s.appended
		s.mu.Unlock()
		if from < len(records) || expired {
			writeRecords(w, records, from)
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

// maxReadBytes bounds the records of one read.
const maxReadBytes = 1 << 20

func writeRecords(w io.Writer, records []storeRecord, from int) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records[min(from, len(records)):] {
		if len(data) > maxReadBytes {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	_, _ = w.Write(data)
}

// serveNewest returns a page of the newest records, ordered by key.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]int{}
	for offset, record := range records {
		newest[record.key] = offset
	}
	items := []item{}
	for key, offset := range newest {
		if len(records[offset].value) > 0 && key > after {
			items = append(items, item{key, records[offset].value, offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": more, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Route is a route of a configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	Timeout                     time.Duration
	Priority                    int
}

// CallerHost is the host name of all routes.
const CallerHost = "jepu9.example"

// MaxBodyBytes is the largest body that a requester may send, as on the users' pages.
const MaxBodyBytes = 67108864

// PutConfiguration makes a configuration the newest one and returns the time of its acknowledgement.
func (s *Store) PutConfiguration(version int, routes []Route) time.Time {
	type object map[string]any
	resources := []object{}
	services := map[string]bool{}
	for _, r := range routes {
		resources = append(resources, object{"resourceKind": "routes", "metadata": object{"name": r.Name}, "spec": object{
			"host": CallerHost, "pathPrefix": r.Prefix, "kind": r.Kind, "timeout": milliseconds(r.Timeout),
			"targetLatency": milliseconds(r.Timeout / 2), "priority": r.Priority, "service": r.Service, "maxAttempts": 2,
		}})
		services[r.Service] = true
	}
	for name := range services {
		resources = append(resources, object{"resourceKind": "services", "metadata": object{"name": name}, "spec": object{
			"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, object{"resourceKind": "limits", "metadata": object{}, "spec": object{
		"maxHeaderBytes": 16384, "maxBodyBytes": MaxBodyBytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}})
	return s.Put(OperatorTopic, "config", object{
		"version": fmt.Sprintf("%08x", version), "baseVersion": fmt.Sprintf("%08x", version-1), "resources": resources,
	})
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
