package loadprobebudget

import (
	"testing"
	"time"
)

// Sends far more requests than the budget can pay for, as at a traffic peak.
func TestBudgetLimitsProbesAtPeak(t *testing.T) {
	const perSecond, seconds = 100.0, 30
	now := time.Unix(1_800_000_000, 0)
	b := &Budget{}
	b.SetRate(now, perSecond)
	probes := 0
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		probes += b.Take(now, 4)
	}
	if most := int(perSecond * (seconds + initialBurst.Seconds())); probes > most {
		t.Errorf("got %d probes, want at most %d", probes, most)
	}
}

func TestFewerTargetsAreProbedAsBudgetRunsLow(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		name  string
		spent int // tokens spent of the 800 saved up
		want  int
	}{
		{"plenty", 0, 4}, {"enough", 500, 4}, {"half of the threshold", 690, 2}, {"nearly none", 798, 1}, {"none", 800, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := &Budget{}
			b.SetRate(now, 100)
			b.refill(now.Add(maxBurst))
			b.tokens -= float64(s.spent)
			if got := b.Take(now.Add(maxBurst), 4); got != s.want {
				t.Errorf("got %d, want %d", got, s.want)
			}
		})
	}
}

func TestUnlimitedBudgetGrantsAll(t *testing.T) {
	if got := (&Budget{}).Take(time.Unix(0, 0), 4); got != 4 {
		t.Errorf("got %d, want 4", got)
	}
}

// A process that is killed and restarted repeatedly at a traffic peak must not gain probes from its restarts.
func TestBudgetLimitsProbesAcrossRestarts(t *testing.T) {
	const perSecond, restarts, seconds = 100.0, 10, 5
	now, probes := time.Unix(1_800_000_000, 0), 0
	for range restarts {
		b := &Budget{}
		b.SetRate(now, perSecond)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			probes += b.Take(now, 4)
		}
	}
	if most := int(perSecond * restarts * (seconds + 1)); probes > most {
		t.Errorf("got %d probes, want at most %d", probes, most)
	}
}
