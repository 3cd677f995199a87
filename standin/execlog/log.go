package execlog

import (
	"sync"
	"time"
)

// Execution is one run of a request at a target.
type Execution struct {
	Target   string
	Key      string // idempotency key, or empty
	Token    string // token by which the caller identifies this attempt
	Method   string
	Started  time.Time
	Finished time.Time // zero while running
	Complete bool      // the complete response was written
	Draining bool      // the target had announced that it is leaving before this run began
}

// Log records executions. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	executions []Execution
	runsByKey  map[string]int
	count      int
}

// maxExecutions bounds the executions that are stored in full; later ones are only counted.
const maxExecutions = 400_000

// Start records the start of an execution and returns its index in the log, or -1 if the log is full.
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
	if len(l.executions) >= maxExecutions {
		return -1
	}
	l.executions = append(l.executions, e)
	return len(l.executions) - 1
}

// Finish records the end of the execution at the index.
func (l *Log) Finish(index int, now time.Time, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index < 0 || index >= len(l.executions) {
		return
	}
	l.executions[index].Finished = now
	l.executions[index].Complete = complete
}

// All returns a copy of the stored executions.
func (l *Log) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Runs returns the number of executions of each idempotency key.
func (l *Log) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runsByKey))
	for key, n := range l.runsByKey {
		runs[key] = n
	}
	return runs
}

// Count returns the number of executions that were started.
func (l *Log) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}
