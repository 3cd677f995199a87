package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency  = 4 * time.Millisecond
	feedPollDelay = 2 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is the platform's row store as PROTOCOL.md and news.md describe it.
type store struct {
	mu       sync.Mutex
	rows     map[rowKey]row // deleted rows stay as tombstones
	version  uint64
	era      uint64
	down     bool            // resets every connection
	rejected map[string]bool // names of machines whose calls get 503
	started  time.Time
	servers  []*http.Server
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, era: 1, rejected: map[string]bool{}, started: time.Now()}
}

// listen opens an address of the store for one machine, by which its calls are told apart.
func (s *store) listen(ip, machine string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, machine) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// put writes a row as the operator or a server does, and returns when the store has accepted it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(rowKey{table, "", key}, value)
}

func (s *store) remove(table, key string) { s.put(table, key, nil) }

// renew replaces the value of an existing row without a new version, as a heartbeat does in which only the sequence changes.
func (s *store) renew(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if r, ok := s.rows[k]; ok && !r.Deleted {
		r.Value = value
		s.rows[k] = r
		return
	}
	s.write(k, value)
}

func (s *store) write(k rowKey, value []byte) {
	s.version++
	s.rows[k] = row{Table: k.table, Part: k.part, Key: k.key, Value: value, Version: s.version, Deleted: value == nil}
}

type storeCopy struct {
	rows    map[rowKey]row
	version uint64
}

func (s *store) copyRows() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.rows), s.version}
}

// restore brings the store back from a copy: versions go back, and the era rises by one.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(c.rows), c.version
	s.era++
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setRejected(machine string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[machine] = rejected
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, machine string) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	down, rejected, era := s.down, s.rejected[machine], s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case rejected:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/api/rows-get":
		s.get(w, r)
	case r.URL.Path == "/api/rows-feed":
		s.feed(w, r, era, machine)
	case r.URL.Path == "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(text string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := int(min(500, number(q.Get("limit"), 500)))
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, stored := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !stored.Deleted && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, stored)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, era uint64, machine string) {
	q := r.URL.Query()
	after := number(q.Get("after"), 0)
	end := time.Now().Add(time.Duration(min(30_000, number(q.Get("waitMs"), 0))) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down || s.rejected[machine] || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for k, stored := range s.rows {
			if k.table == q.Get("table") && stored.Version > after {
				rows = append(rows, stored)
			}
		}
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			slices.SortFunc(rows, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(feedPollDelay)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct{ Expected, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range append(slices.Clone(call.Put), call.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range call.Expected {
		stored := s.rows[rowKey{e.Table, e.Part, e.Key}]
		version := stored.Version
		if stored.Deleted {
			version = 0
		}
		if version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, nil, false)
			return
		}
	}
	for _, e := range call.Put {
		if e.Value == nil {
			e.Value = []byte{}
		}
		s.write(rowKey{e.Table, e.Part, e.Key}, e.Value)
	}
	for _, e := range call.Remove {
		s.write(rowKey{e.Table, e.Part, e.Key}, nil)
	}
	s.answer(w, nil, false)
}
