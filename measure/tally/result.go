package tally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicroseconds   = 1
	maxMicroseconds   = 120 * 1000 * 1000
	significantDigits = 3
)

// Class holds the results of one class of requests.
type Class struct {
	Sent     int
	Served   int // responses with a status below 400
	InTime   int // responses served within the deadline
	Outcomes map[string]int

	latency *hdrhistogram.Histogram // of served requests, in microseconds
}

// Quantile returns a quantile of the latency of served requests; the quantile is from 0 to 100.
func (c *Class) Quantile(quantile float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Share returns the share of requests served within the deadline.
func (c *Class) Share() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Sent)
}

// Completion describes how one request ended.
type Completion struct {
	Outcome string
	Served  bool
	InTime  bool // within its deadline
	Latency time.Duration
}

// Result holds the results of a run.
type Result struct {
	mu         sync.Mutex
	classes    map[string]*Class
	slices     []map[string]*Class
	sliceWidth time.Duration
	resends    int
}

// New returns an empty result that also counts by time slices, unless their width is zero.
func New(sliceWidth, duration time.Duration) *Result {
	r := &Result{classes: map[string]*Class{}, sliceWidth: sliceWidth}
	if sliceWidth > 0 {
		for range int(duration/sliceWidth) + 1 {
			r.slices = append(r.slices, map[string]*Class{})
		}
	}
	return r
}

func class(classes map[string]*Class, name string) *Class {
	c, ok := classes[name]
	if !ok {
		c = &Class{Outcomes: map[string]int{}, latency: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
		classes[name] = c
	}
	return c
}

// Add records the completion of a request of a class, which was due at an offset from the start.
func (r *Result) Add(name string, completion Completion, offset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class(r.classes, name).add(completion)
	if r.sliceWidth > 0 {
		class(r.slices[int(offset/r.sliceWidth)], name).add(completion)
	}
}

func (c *Class) add(completion Completion) {
	c.Sent++
	c.Outcomes[completion.Outcome]++
	if !completion.Served {
		return
	}
	c.Served++
	if completion.InTime {
		c.InTime++
	}
	_ = c.latency.RecordValue(min(maxMicroseconds, max(minMicroseconds, completion.Latency.Microseconds())))
}

// CountResend counts a request that is sent again.
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

// Slice returns the results of a class for the requests that were due in the n-th time slice.
func (r *Result) Slice(n int, name string) *Class {
	r.mu.Lock()
	defer r.mu.Unlock()
	return class(r.slices[n], name)
}

// Slices returns the number of slices.
func (r *Result) Slices() int {
	return len(r.slices)
}

// Resends returns how often a request was sent again.
func (r *Result) Resends() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resends
}
