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
	queueCapacity      = 1024        // lines that can wait to be written
	maxLinesPerSecond  = 400         // keeps the logs of a whole fleet readable
	maxBurst           = 800         // lines
	dropReportInterval = time.Second // between reports of the number of dropped lines
)

// Sink is a writer that queues lines and drops those that exceed its rate or its queue. Its exported fields must be
// set before Run.
type Sink struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64 // lines that were queued and are neither written nor dropped yet
}

func (s *Sink) start() {
	s.once.Do(func() { s.lines = make(chan []byte, queueCapacity) })
}

// Write queues one line, or drops it when the queue is full.
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
	tokens, at, reported := float64(maxBurst), time.Now(), time.Now()
	for line := range s.lines {
		now := time.Now()
		tokens = min(maxBurst, tokens+now.Sub(at).Seconds()*maxLinesPerSecond)
		at = now
		if tokens >= 1 {
			tokens--
			_, _ = s.Out.Write(line) // a failure to write the log cannot be reported anywhere
		} else {
			s.dropped.Add(1)
		}
		if now.Sub(reported) >= dropReportInterval && tokens >= 1 {
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

// Flush waits until the queued lines are written or the timeout has passed.
func (s *Sink) Flush(timeout time.Duration) {
	s.start()
	for end := time.Now().Add(timeout); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
