package tally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowest    = 1                 // microseconds
	highest   = 120 * 1000 * 1000 // microseconds
	precision = 3                 // significant digits
)

// Class is the results of one class of shots.
type Class struct {
	Sent     int
	Served   int // answered with a status below 400
	InTime   int // of these, within the deadline
	Outcomes map[string]int

	latency *hdrhistogram.Histogram // of those served, in microseconds
}

// Quantile returns a latency of the answers served; the quantile is from 0 to 100.
func (c *Class) Quantile(quantile float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Share returns the share of shots served within the deadline.
func (c *Class) Share() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}

// End is the end of one shot.
type End struct {
	Outcome string
	Served  bool
	InTime  bool // within its deadline
	Latency time.Duration
}

// Result is what came of a run.
type Result struct {
	mu      sync.Mutex
	classes map[string]*Class
	slices  []map[string]*Class
	slice   time.Duration
	resends int
}

// New returns a result that is also kept in slices of time, unless their width is zero.
func New(slice, duration time.Duration) *Result {
	r := &Result{classes: map[string]*Class{}, slice: slice}
	if slice > 0 {
		for range int(duration/slice) + 1 {
			r.slices = append(r.slices, map[string]*Class{})
		}
	}
	return r
}

func class(of map[string]*Class, name string) *Class {
	c, ok := of[name]
	if !ok {
		c = &Class{Outcomes: map[string]int{}, latency: hdrhistogram.New(lowest, highest, precision)}
		of[name] = c
	}
	return c
}

// Add takes the end of a shot of a class, which was due at an offset from the start.
func (r *Result) Add(name string, end End, offset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class(r.classes, name).add(end)
	if r.slice > 0 {
		class(r.slices[int(offset/r.slice)], name).add(end)
	}
}

func (c *Class) add(end End) {
	c.Sent++
	c.Outcomes[end.Outcome]++
	if !end.Served {
		return
	}
	c.Served++
	if end.InTime {
		c.InTime++
	}
	_ = c.latency.RecordValue(min(highest, max(lowest, end.Latency.Microseconds())))
}

// CountResend counts a shot that is sent again.
func (r *Result) CountResend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resends++
}

// Class returns the results of a class.
func (r *Result) Class(name string) *Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	return class(r.classes, name)
}

// Slice returns the results of a class among the shots that were due in the n-th slice of time.
func (r *Result) Slice(n int, name string) *Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	return class(r.slices[n], name)
}

// Slices returns the number of slices.
func (r *Result) Slices() int {
	return len(r.slices)
}

// Resends returns how often a shot was sent again.
func (r *Result) Resends() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resends
}
