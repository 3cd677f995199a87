package target

import (
	"sync"
	"time"
)

// window tracks the peak number of events in a sliding window of one second.
type window struct {
	mu    sync.Mutex
	times []time.Time
	peak  int
}

// Add records an event.
func (w *window) Add(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := 0
	for first < len(w.times) && now.Sub(w.times[first]) >= time.Second {
		first++
	}
	w.times = append(w.times[first:], now)
	w.peak = max(w.peak, len(w.times))
}

// Peak returns the peak number of events so far.
func (w *window) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}
