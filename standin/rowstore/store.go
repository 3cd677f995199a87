package rowstore

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const pollInterval = 2 * time.Millisecond // between the checks of a call that waits for changes

// Faults describes how the store fails. The zero value is a healthy store.
type Faults struct {
	Status int           // status code of every response; zero serves the calls
	Hang   bool          // no call gets a response
	Delay  time.Duration // added before each response
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is an in-memory store of rows. The zero value is empty.
type Store struct {
	mu           sync.Mutex
	faults       Faults
	rows         map[[2]string]row // by table and key; deleted rows stay as tombstones
	version      uint64
	restores     uint64
	historyStart uint64 // changes up to this version are no longer available
	calls        int
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far, including rejected ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row. A nil value deletes it.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(table, key, value)
}

func (s *Store) put(table, key string, value []byte) {
	if s.rows == nil {
		s.rows = map[[2]string]row{}
	}
	s.version++
	s.rows[[2]string{table, key}] = row{Table: table, Key: key, Value: value, Version: s.version, Deleted: value == nil}
}

// Renew replaces the value of a row as a heartbeat does, which is no change: the row keeps its version. A row that does not
// exist is written.
func (s *Store) Renew(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.rows[[2]string{table, key}]
	if !ok || stored.Deleted {
		s.put(table, key, value)
		return
	}
	stored.Value = value
	s.rows[[2]string{table, key}] = stored
}

// Has reports whether the row exists.
func (s *Store) Has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.rows[[2]string{table, key}]
	return ok && !stored.Deleted
}

// DropHistory drops the history of changes up to now, so that a feed from an earlier version fails.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.version
}

// Backup is a copy of the rows of a store.
type Backup struct {
	rows    map[[2]string]row
	version uint64
}

// Backup returns a copy of all rows.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{rows: maps.Clone(s.rows), version: s.version}
}

// Restore replaces all rows by those of the copy. What was written since is lost, and its versions are given out again.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(b.rows), b.version
	s.historyStart = min(s.historyStart, s.version)
	s.restores++
}

// ServeHTTP serves one call of the store API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls++
	s.mu.Unlock()
	w.Header().Set("Store-Era", s.era())
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	if faults.Status != 0 {
		w.WriteHeader(faults.Status)
		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// era returns the number of the store's era, which starts at one and grows with each restore.
func (s *Store) era() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.restores+1, 10)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := parseNumber(query.Get("limit"), 500)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(func(stored row) bool {
		return stored.Table == query.Get("table") && !stored.Deleted && stored.Key >= query.Get("from")
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := uint64(len(rows)) > limit
	s.writeRows(w, rows[:min(uint64(len(rows)), limit)], more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := parseNumber(query.Get("after"), 0)
	deadline := time.Now().Add(time.Duration(parseNumber(query.Get("waitMs"), 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.historyStart || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.selectRows(func(stored row) bool { return stored.Table == query.Get("table") && stored.Version > after })
		if len(rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
			s.writeRows(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expected {
		stored := s.rows[[2]string{expected.Table, expected.Key}]
		if stored.Deleted && expected.Version != 0 || !stored.Deleted && stored.Version != expected.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, written := range append(call.Put, call.Remove...) {
		if written.Table == "servers" || written.Table == "op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, written := range call.Put {
		s.put(written.Table, written.Key, written.Value)
	}
	for _, deleted := range call.Remove {
		s.put(deleted.Table, deleted.Key, nil)
	}
	s.writeRows(w, nil, false)
}

func (s *Store) selectRows(match func(stored row) bool) []row {
	rows := []row{}
	for _, stored := range s.rows {
		if match(stored) {
			rows = append(rows, stored)
		}
	}
	return rows
}

func (s *Store) writeRows(w http.ResponseWriter, rows []row, more bool) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.restores+1, 10)) // it may have been restored while the call waited
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // the client may have closed the connection
		"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Now().UnixMilli(),
	})
}

func parseNumber(text string, defaultValue uint64) uint64 {
	parsed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return defaultValue
	}
	return parsed
}
