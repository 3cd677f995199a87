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

// noisyTarget runs requests on a few slots; work keeps the speed with which it began.
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

// step ends and starts work, and returns what has ended.
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

// Replays a crest with noisy neighbours: each of two targets is five times slower in a quarter of the spans of 150 ms, and more
// requests come than fit. The slots must do most of what they could do without noise.
func TestACrestWithNoisyNeighboursIsServedInTheQuietSpans(t *testing.T) {
	const (
		tick       = 5 * time.Millisecond
		span       = 150 * time.Millisecond
		length     = 20 * time.Second
		noisyShare = 0.25
		share      = 0.7 // of the work that the slots could do without noise; work starts in three quarters of the time
	)
	d := queryDriver(t, 2)
	random := rand.New(rand.NewPCG(7, 8))
	targets := []*noisyTarget{{name: "t1", slowdown: 1}, {name: "t2", slowdown: 1}}
	answers := 0
	for begun, shifted := d.now, d.now; d.now.Before(begun.Add(length)); {
		d.now = d.now.Add(tick)
		shift := d.now.Sub(shifted) >= span
		if shift {
			shifted = d.now
		}
		for _, n := range targets {
			if shift {
				n.slowdown = 1
				if random.Float64() < noisyShare {
					n.slowdown = 5
				}
			}
			for _, w := range n.step(d.now) {
				answers++
				d.finish(decision.Decision{ID: w.id}, outcome.Answered, w.latency)
			}
			d.Probed(d.now, n.name, n.report(), false)
		}
		for _, got := range append(d.Poll(d.now), d.submit(d.rule)) {
			if got.Kind != decision.Send {
				continue
			}
			n := targets[slices.IndexFunc(targets, func(n *noisyTarget) bool { return n.name == got.Name })]
			n.waiting = append(n.waiting, got.ID)
		}
	}
	if want := int(share * float64(len(targets)*peakSlots) * float64(length/peakWork)); answers < want {
		t.Errorf("got %d answers, want at least %d", answers, want)
	}
}
