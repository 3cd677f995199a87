package harness

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is the platform's store: rows with versions, a change feed and transactions.
type Store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
}

// Put writes a row; a nil value removes it.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: key, Value: value, Deleted: value == nil})
}

func (s *Store) put(r row) {
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	s.version++
	r.Version = s.version
	s.rows[r.Table+"/"+r.Part+"/"+r.Key] = r
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.write(w, s.sel(r, func(row row) bool { return !row.Deleted && row.Key >= r.URL.Query().Get("from") }, true))
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) sel(r *http.Request, match func(row row) bool, byKey bool) []row {
	rows := []row{}
	for _, row := range s.rows {
		if row.Table == r.URL.Query().Get("table") && match(row) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if byKey {
			return rows[i].Key < rows[j].Key
		}
		return rows[i].Version < rows[j].Version
	})
	return rows
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := s.sel(r, func(row row) bool { return row.Version > after }, false)
		changed := s.changed
		if len(rows) > 0 || wait == 0 {
			s.write(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct{ Expected, Put, Remove []row }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range call.Expected {
		if held := s.rows[e.Table+"/"+e.Part+"/"+e.Key]; !held.Deleted && held.Version != e.Version || held.Deleted && e.Version != 0 {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range call.Put {
		s.put(p)
	}
	for _, d := range call.Remove {
		d.Deleted = true
		s.put(d)
	}
	s.write(w, []row{})
}

func (s *Store) write(w http.ResponseWriter, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": s.version, "nowMs": time.Now().UnixMilli()})
}
