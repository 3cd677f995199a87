package rowstore

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const pollStep = 2 * time.Millisecond // between looks of a call that waits for changes

// Faults is how the store misbehaves; the zero value is a healthy store.
type Faults struct {
	Status int           // answered to every call; zero serves them
	Silent bool          // no call is answered
	Delay  time.Duration // before each answer
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store holds rows in memory; the zero value is empty.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	rows    map[[2]string]row // by table and key; dropped ones stay as marks
	ver     uint64
	history uint64 // changes up to this version are forgotten
	calls   int
}

// Break sets how the store misbehaves from now on.
func (s *Store) Break(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the calls that were made, refused ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row; a nil value drops it.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(table, key, value)
}

func (s *Store) put(table, key string, value []byte) {
	if s.rows == nil {
		s.rows = map[[2]string]row{}
	}
	s.ver++
	s.rows[[2]string{table, key}] = row{Table: table, Key: key, Value: value, Ver: s.ver, Deleted: value == nil}
}

// Forget drops the history up to now.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.ver
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls++
	s.mu.Unlock()
	if faults.Silent {
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

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := number(query.Get("limit"), 500)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selected(func(held row) bool {
		return held.Table == query.Get("table") && !held.Deleted && held.Key >= query.Get("from")
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := uint64(len(rows)) > limit
	s.answer(w, rows[:min(uint64(len(rows)), limit)], more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := number(query.Get("after"), 0)
	end := time.Now().Add(time.Duration(number(query.Get("waitMs"), 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.history {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.selected(func(held row) bool { return held.Table == query.Get("table") && held.Ver > after })
		if len(rows) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Ver, b.Ver) })
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(pollStep)
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
		held := s.rows[[2]string{expected.Table, expected.Key}]
		if held.Deleted && expected.Ver != 0 || !held.Deleted && held.Ver != expected.Ver {
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
	for _, removed := range call.Remove {
		s.put(removed.Table, removed.Key, nil)
	}
	s.answer(w, nil, false)
}

func (s *Store) selected(match func(held row) bool) []row {
	rows := []row{}
	for _, held := range s.rows {
		if match(held) {
			rows = append(rows, held)
		}
	}
	return rows
}

func (s *Store) answer(w http.ResponseWriter, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // a client that has left needs no answer
		"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Now().UnixMilli(),
	})
}

func number(text string, fallback uint64) uint64 {
	parsed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fallback
	}
	return parsed
}
