package execlog

import (
	"sync"
	"time"
)

// Execution is one run of one request at one target.
type Execution struct {
	Target   string
	Key      string // idempotency key, or empty
	Token    string // caller's token for this send
	Method   string
	Started  time.Time
	Finished time.Time // zero while running
	Whole    bool      // the whole answer was written
	Drained  bool      // the target had said that it is leaving before this run began
}

// Log collects executions; it is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	executions []Execution
	runsByKey  map[string]int
	count      int
}

const keptExecutions = 400_000

// Start notes that an execution began and returns its place.
func (l *Log) Start(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runsByKey == nil {
		l.runsByKey = map[string]int{}
	}
	l.count++
	if e.Key != "" {
		l.runsByKey[e.Key]++
	}
	if len(l.executions) >= keptExecutions {
		return -1
	}
	l.executions = append(l.executions, e)
	return len(l.executions) - 1
}

// Finish notes the end of an execution.
func (l *Log) Finish(place int, now time.Time, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place < 0 || place >= len(l.executions) {
		return
	}
	l.executions[place].Finished = now
	l.executions[place].Whole = whole
}

// All returns a copy of the executions kept.
func (l *Log) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Runs returns how often each key ran.
func (l *Log) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runsByKey))
	for key, n := range l.runsByKey {
		runs[key] = n
	}
	return runs
}

// Count returns the number of executions begun.
func (l *Log) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}
