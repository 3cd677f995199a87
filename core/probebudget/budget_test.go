package probebudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestProbesPerSecondStayWithinShare takes probes at random times and across restarts, and checks every window of one
// second.
func TestProbesPerSecondStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(0, 5).Draw(t, "share")
		now := time.Unix(1_800_000_000, 0)
		budget := &Budget{PerWindow: share, Started: now}
		var sent []time.Time
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 400), 1, 200).Draw(t, "gaps in ms") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if gap == 400 {
				budget = &Budget{PerWindow: share, Started: now}
			}
			if budget.Take(now) {
				sent = append(sent, now)
			}
		}
		for i := range sent {
			within := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					within++
				}
			}
			if within > share {
				t.Fatalf("got %d probes within a second, want at most %d", within, share)
			}
		}
	})
}

func TestShareIsUsed(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	budget := &Budget{PerWindow: 2, Started: now}
	sent := 0
	for range 12_500 {
		now = now.Add(time.Millisecond)
		if budget.Take(now) {
			sent++
		}
	}
	// Ten windows pass, and the first allows no probes.
	if want := 18; sent < want {
		t.Errorf("got %d probes, want at least %d", sent, want)
	}
}
