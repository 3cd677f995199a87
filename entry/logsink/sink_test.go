package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a log whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

func TestWriteNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s := &Sink{Out: blockedWriter{release}}
	go s.Run()
	started := time.Now()
	for range 10 * queueCapacity {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("got %s for lines that nobody reads, want less than a second", took)
	}
	if s.dropped.Load() == 0 {
		t.Error("got no line dropped, want most of them")
	}
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(data)
}

func TestRateLimit(t *testing.T) {
	out := &safeBuffer{}
	s := &Sink{Out: out}
	started := time.Now()
	go s.Run()
	for range 3 * maxBurst {
		_, _ = s.Write([]byte("line\n"))
		time.Sleep(10 * time.Microsecond)
	}
	s.Flush(time.Second)
	time.Sleep(10 * time.Millisecond)
	out.mu.Lock()
	defer out.mu.Unlock()
	maxLines := maxBurst + int(maxLinesPerSecond*time.Since(started).Seconds()) + 1
	if got := strings.Count(out.b.String(), "line\n"); got > maxLines || got < maxBurst/2 {
		t.Errorf("got %d lines, want at most %d", got, maxLines)
	}
}

// slowWriter takes 20 ms to write a line.
type slowWriter struct{ safeBuffer }

func (w *slowWriter) Write(data []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return w.safeBuffer.Write(data)
}

func TestFlushWaitsForTheLastLine(t *testing.T) {
	out := &slowWriter{}
	s := &Sink{Out: out}
	go s.Run()
	_, _ = s.Write([]byte("first\n"))
	_, _ = s.Write([]byte("last\n"))
	s.Flush(time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got, want := out.b.String(), "first\nlast\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
