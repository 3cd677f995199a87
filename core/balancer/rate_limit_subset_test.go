package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/freshest"
	"poplarworks/core/outcome"
	"poplarworks/core/powerofd"
	"poplarworks/core/ratelimit"
	"poplarworks/core/report"
	"poplarworks/core/service"
)

// newSubsetFleet returns entries of several data centres, each of which uses a subset of the targets.
func newSubsetFleet(t *testing.T, entriesPerDataCentre, targetsPerDataCentre []int) *limitedFleet {
	f := &limitedFleet{sent: map[string][]time.Time{}}
	s := record(0, 6)
	s.LoadProbes, s.MaxProbedTargets, s.ExtraBurst, s.ExtraRatio = 4, 24, 1, 0.2
	for dc, n := range targetsPerDataCentre {
		for i := range n {
			target := record(1, 6).Targets[0]
			target.Name, target.DataCentre = fmt.Sprintf("t%d-%d", dc, i), fmt.Sprintf("dc%d", dc)
			s.Targets = append(s.Targets, target)
		}
	}
	var entries []service.Entry
	for dc, n := range entriesPerDataCentre {
		for i := range n {
			entries = append(entries, service.Entry{Name: fmt.Sprintf("e%d-%03d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc)})
		}
	}
	s.Entries = entries
	for i, e := range entries {
		d := driveEntry(t, e, s)
		random := rand.New(rand.NewPCG(uint64(i), 4))
		d.Random = random
		d.Picker = &freshest.Picker{MaxAge: 25 * time.Millisecond, Fallback: &powerofd.Picker{Choices: 4, Random: random}}
		f.entries = append(f.entries, d)
	}
	return f
}

// runProbed lets each entry submit requests at random times, after probing some targets, which all name the limit.
func (f *limitedFleet) runProbed(duration time.Duration, requestsPerSecond, limit float64) {
	const step = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(5, 6))
	for at := time.Duration(0); at < duration; at += step {
		for _, e := range f.entries {
			e.now = e.now.Add(step)
			if random.Float64() >= requestsPerSecond*step.Seconds() {
				continue
			}
			for _, target := range e.ProbeCandidates(e.now, e.request(e.rule), 4) {
				e.RecordRateLimit(e.now, target.Name, ratelimit.Limit{Named: true, PerSecond: limit})
				e.RecordProbe(e.now, target.Name, report.Report{Slots: 6, Slowdown: 1}, false)
			}
			if d := e.submit(e.rule); d.Kind == decision.Send {
				f.sent[d.Name] = append(f.sent[d.Name], e.now)
				e.finish(d, outcome.Answered, 50*time.Millisecond)
			}
			for id := range e.waiting {
				e.Withdraw(id)
			}
		}
	}
}

// Guards against a burst at a target of which only a part of the entries uses it: those of its own data centre, whose
// names and so whose turns are next to each other.
func TestEntriesThatShareATargetOfASubsetTakeTurnsEvenly(t *testing.T) {
	const (
		limit    = 1.9
		window   = 4 * time.Second
		duration = 16 * time.Second
	)
	f := newSubsetFleet(t, []int{31, 31, 30, 30}, []int{60, 60, 20, 17})
	targets := f.entries[0].service.Targets
	for _, target := range targets {
		f.name(target.Name, ratelimit.Limit{Named: true, PerSecond: limit})
	}
	f.runProbed(duration, 6, limit)
	allowed, total := 1.5*limit*window.Seconds()+5, 0
	for _, target := range targets {
		total += len(f.sent[target.Name])
		if got := mostWithin(f.sent[target.Name], window); float64(got) > allowed {
			t.Errorf("got %d requests at %s in %s, want at most %.0f", got, target.Name, window, allowed)
		}
	}
	if got := float64(total) / duration.Seconds() / float64(len(targets)); got < 0.5*limit {
		t.Errorf("got %.2f requests a second at a target on average, want at least half of the limit", got)
	}
}

// Guards against an entry that sends to a limited target of which no share is its own.
func TestALimitIsDividedAmongTheEntriesThatUseTheTarget(t *testing.T) {
	f := newSubsetFleet(t, []int{12, 3}, []int{40, 30})
	for _, target := range f.entries[0].service.Targets {
		f.name(target.Name, ratelimit.Limit{Named: true, PerSecond: 1})
		positions, sharers := map[float64]bool{}, 0
		for _, e := range f.entries {
			if slices.Contains(e.subset, e.targets[e.byName[target.Name]]) {
				_, position := e.RateSharers(target.Name)
				positions[position] = true
				sharers++
			}
		}
		for _, e := range f.entries {
			shares := slices.Contains(e.subset, e.targets[e.byName[target.Name]])
			if got := e.targets[e.byName[target.Name]].sharesRateLimit; got != shares {
				t.Errorf("%s at %s: got a share %t, want %t", e.Self, target.Name, got, shares)
			}
			if got, _ := e.RateSharers(target.Name); got != sharers {
				t.Errorf("%s at %s: got %d sharers, want %d", e.Self, target.Name, got, sharers)
			}
		}
		if len(positions) != sharers {
			t.Errorf("%s: got %d positions for %d sharers, want one each", target.Name, len(positions), sharers)
		}
	}
}
