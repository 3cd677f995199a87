package askbudget

import (
	"testing"
	"time"
)

// Replays a crest: far more requests than the budget can pay for.
func TestTheBudgetHoldsAtACrest(t *testing.T) {
	const perSecond, seconds = 100.0, 30
	now := time.Unix(1_800_000_000, 0)
	b := &Budget{}
	b.Limit(now, perSecond)
	asked := 0
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		asked += b.Take(now, 4)
	}
	if most := int(perSecond * (seconds + start.Seconds())); asked > most {
		t.Errorf("got %d probes, want at most %d", asked, most)
	}
}

func TestFewerAreAskedTheLessIsLeft(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		name  string
		spent int // of the 800 that are saved up
		want  int
	}{
		{"plenty", 0, 4}, {"enough", 500, 4}, {"half of what is plenty", 690, 2}, {"nearly none", 798, 1}, {"none", 800, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := &Budget{}
			b.Limit(now, 100)
			b.fill(now.Add(burst))
			b.tokens -= float64(s.spent)
			if got := b.Take(now.Add(burst), 4); got != s.want {
				t.Errorf("got %d, want %d", got, s.want)
			}
		})
	}
}

func TestWithoutABoundAllAreAsked(t *testing.T) {
	if got := (&Budget{}).Take(time.Unix(0, 0), 4); got != 4 {
		t.Errorf("got %d, want 4", got)
	}
}

// Replays a day on which the process is killed over and over at a crest.
func TestTheBudgetHoldsOverManyStarts(t *testing.T) {
	const perSecond, starts, seconds = 100.0, 10, 5
	now, asked := time.Unix(1_800_000_000, 0), 0
	for range starts {
		b := &Budget{}
		b.Limit(now, perSecond)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			asked += b.Take(now, 4)
		}
	}
	if most := int(perSecond * starts * (seconds + 1)); asked > most {
		t.Errorf("got %d probes, want at most %d", asked, most)
	}
}
