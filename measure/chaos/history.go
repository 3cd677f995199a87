package chaos

import (
	"sync"
	"time"
)

// send is one request as its caller saw it.
type send struct {
	key    string // empty for a lookup
	token  string
	begun  time.Time
	ended  time.Time
	status int // zero when there was no answer
	run    string
	code   string
}

// leave is a time in which a target was leaving.
type leave struct {
	target  string
	planned bool      // by a stop record, and else by the target's own sign
	from    time.Time // acceptance of the record, or the first answer with the sign
	until   time.Time
	drained time.Time // when the stop's status said that nothing was in flight
}

// write is a record that an operator was told is accepted.
type write struct {
	replaced uint64
	revision uint64
}

// history collects what happened; it is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	sends  []send
	leaves []leave
	writes []write
	wrong  []string // answers that were not whole or not the caller's own, and revisions that fell
	counts map[string]int
}

func (h *history) addSend(s send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends = append(h.sends, s)
}

func (h *history) addLeave(l leave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, l)
}

func (h *history) addWrite(w write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

func (h *history) addWrong(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong = append(h.wrong, what)
}

func (h *history) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = map[string]int{}
	}
	h.counts[what]++
}
