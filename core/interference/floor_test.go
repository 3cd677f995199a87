package interference

import (
	"testing"
	"time"
)

func TestTransientSlowdownIsToldFromLastingOne(t *testing.T) {
	const every = 50 * time.Millisecond
	scenarios := []struct {
		name     string
		reported []float64 // one every 50 ms
		slowdown float64
		want     bool
	}{
		{"nothing reported", nil, 5, true},
		{"usual speed", []float64{1, 1, 1}, 1, false},
		{"slow for a moment", []float64{1, 1, 1, 5}, 5, true},
		{"slow from the first report", []float64{5}, 5, true},
		{"slow for two seconds", repeat(5, 40), 5, false},
		{"much slower than its lasting slowdown", repeat(5, 40), 25, true},
		{"usual speed again after two slow seconds", append(repeat(5, 40), 1), 5, true},
		{"too few reports in the window", []float64{5, 5, 5}, 5, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			f := Floor{}
			for _, slowdown := range s.reported {
				now = now.Add(every)
				f.Report(now, slowdown)
			}
			if got := f.Transient(s.slowdown); got != s.want {
				t.Errorf("got %t, want %t", got, s.want)
			}
		})
	}
}

func repeat(slowdown float64, count int) []float64 {
	list := make([]float64, count)
	for i := range list {
		list[i] = slowdown
	}
	return list
}
