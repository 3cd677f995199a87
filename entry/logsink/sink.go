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
	capacity    = 1024        // lines that may wait to be written
	linesPerSec = 400         // lines a second that are written; a fleet's logs must stay readable
	burst       = 800         // lines
	reportEvery = time.Second // between lines that count what was dropped
)

// Sink is a writer that queues lines and drops those that exceed its rate; its exported fields are set before Run.
type Sink struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64 // lines that were queued and are not written or dropped yet
}

func (s *Sink) start() {
	s.once.Do(func() { s.lines = make(chan []byte, capacity) })
}

// Write queues one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.start()
	s.pending.Add(1)
	select {
	case s.lines <- slices.Clone(line):
	default:
		s.pending.Add(-1)
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
		if tokens >= 1 {
			tokens--
			_, _ = s.Out.Write(line) // there is nowhere to report that the log cannot be written
		} else {
			s.dropped.Add(1)
		}
		if now.Sub(reported) >= reportEvery && tokens >= 1 {
			reported = now
			s.reportDropped(now)
		}
		s.pending.Add(-1)
	}
}

func (s *Sink) reportDropped(now time.Time) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(s.Out, "time=%q level=warning msg=%q dropped=%d\n", now.UTC().Format(time.RFC3339Nano), "log: Lines were dropped.", dropped)
	}
}

// Flush waits until the queued lines have been written, or the time is up.
func (s *Sink) Flush(timeout time.Duration) {
	s.start()
	for end := time.Now().Add(timeout); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
