package balancer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/report"
)

const (
	peakSlots = 3
	peakWork  = 100 * time.Millisecond
)

// noisyTarget simulates a target with a few slots. A request keeps the slowdown at which it started.
type noisyTarget struct {
	name     string
	slowdown float64
	running  []noisyWork
	waiting  []uint64
}

type noisyWork struct {
	id      uint64
	end     time.Time
	latency time.Duration
}

// step completes and starts requests, and returns the completed ones.
func (n *noisyTarget) step(now time.Time) []noisyWork {
	var ended []noisyWork
	n.running = slices.DeleteFunc(n.running, func(w noisyWork) bool {
		if w.end.After(now) {
			return false
		}
		ended = append(ended, w)
		return true
	})
	for len(n.running) < peakSlots && len(n.waiting) > 0 {
		latency := time.Duration(float64(peakWork) * n.slowdown)
		n.running = append(n.running, noisyWork{id: n.waiting[0], end: now.Add(latency), latency: latency})
		n.waiting = n.waiting[1:]
	}
	return ended
}

func (n *noisyTarget) report() report.Report {
	return report.Report{Running: len(n.running), Waiting: len(n.waiting), Slots: peakSlots, Slowdown: n.slowdown}
}

// Two targets with noisy neighbours are overloaded at a peak. Each is five times slower in a quarter of the 150 ms
// periods. A request that starts in such a period occupies its slot long after the period has ended, so the balancer
// must start work in the quiet periods.
func TestAPeakWithNoisyNeighboursIsServedInQuietPeriods(t *testing.T) {
	const (
		tick       = 5 * time.Millisecond
		period     = 150 * time.Millisecond
		length     = 20 * time.Second
		noisyShare = 0.25
		minShare   = 0.7 // of the capacity without noise; requests start in three quarters of the time
	)
	d := probeDriver(t, 2)
	random := rand.New(rand.NewPCG(7, 8))
	targets := []*noisyTarget{{name: "t1", slowdown: 1}, {name: "t2", slowdown: 1}}
	answers := 0
	for start, lastChange := d.now, d.now; d.now.Before(start.Add(length)); {
		d.now = d.now.Add(tick)
		change := d.now.Sub(lastChange) >= period
		if change {
			lastChange = d.now
		}
		for _, n := range targets {
			if change {
				n.slowdown = 1
				if random.Float64() < noisyShare {
					n.slowdown = 5
				}
			}
			for _, w := range n.step(d.now) {
				answers++
				d.finish(decision.Decision{ID: w.id}, outcome.Answered, w.latency)
			}
			d.RecordProbe(d.now, n.name, n.report(), false)
		}
		for _, got := range append(d.Poll(d.now), d.submit(d.rule)) {
			if got.Kind != decision.Send {
				continue
			}
			n := targets[slices.IndexFunc(targets, func(n *noisyTarget) bool { return n.name == got.Name })]
			n.waiting = append(n.waiting, got.ID)
		}
	}
	if want := int(minShare * float64(len(targets)*peakSlots) * float64(length/peakWork)); answers < want {
		t.Errorf("got %d answers, want at least %d", answers, want)
	}
}
