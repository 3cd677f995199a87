package logsink

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	capacity      = 1024 // lines that may wait to be written
	linesPerSec   = 400  // lines a second that are written; a fleet's logs must stay readable
	burst         = 800  // lines
	reportDropped = time.Second
)

// Sink is a writer that queues lines and drops those that exceed its rate; its exported fields are set before Run.
type Sink struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
}

func (s *Sink) start() {
	s.once.Do(func() { s.lines = make(chan []byte, capacity) })
}

// Write queues one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.start()
	select {
	case s.lines <- slices.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the process ends.
func (s *Sink) Run() {
	s.start()
	tokens, at, reported := float64(burst), time.Now(), time.Now()
	for line := range s.lines {
		now := time.Now()
		tokens = min(burst, tokens+now.Sub(at).Seconds()*linesPerSec)
		at = now
		if tokens < 1 {
			s.dropped.Add(1)
			continue
		}
		tokens--
		_, _ = s.Out.Write(line) // there is nowhere to report that the log cannot be written
		if now.Sub(reported) < reportDropped {
			continue
		}
		if dropped := s.dropped.Swap(0); dropped > 0 {
			reported = now
			_, _ = fmt.Fprintf(s.Out, "time=%q level=warning msg=%q dropped=%d\n", now.UTC().Format(time.RFC3339Nano), "log: Lines were dropped.", dropped)
		}
	}
}

// Flush waits until the queued lines have been written, or the time is up.
func (s *Sink) Flush(timeout time.Duration) {
	s.start()
	for end := time.Now().Add(timeout); len(s.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
