package chaos

import (
	"sync"
	"time"
)

// send is one request as its caller saw it.
type send struct {
	key       string // empty for a lookup
	token     string
	startedAt time.Time
	endedAt   time.Time
	status    int // zero when there was no complete response
	run       string
	code      string
}

// leavingPeriod is a period in which a target was leaving.
type leavingPeriod struct {
	target    string
	planned   bool      // announced by a stop record; otherwise by the target itself, in its responses
	from      time.Time // acceptance of the stop record, or the time when the target began to announce it
	until     time.Time
	drainedAt time.Time // when the stop's status reported that nothing was in flight
}

// write is a write of a record that was accepted.
type write struct {
	replaced uint64
	revision uint64
}

// history records what happened in a run. It is safe for concurrent use.
type history struct {
	mu             sync.Mutex
	sends          []send
	leavingPeriods []leavingPeriod
	writes         []write
	violations     []string // violations that were found while the run went on
	counts         map[string]int
}

func (h *history) addSend(s send) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends = append(h.sends, s)
}

func (h *history) addLeavingPeriod(l leavingPeriod) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingPeriods = append(h.leavingPeriods, l)
}

func (h *history) addWrite(w write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

func (h *history) addViolation(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, what)
}

func (h *history) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = map[string]int{}
	}
	h.counts[what]++
}
