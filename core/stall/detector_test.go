package stall

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		name  string
		looks []time.Duration
		wait  bool
	}{
		{"the first look", []time.Duration{0}, false},
		{"a process that runs", []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, false},
		{"a pause", []time.Duration{0, 5 * time.Second}, true},
		{"soon after a pause", []time.Duration{0, 5 * time.Second, 5*time.Second + 50*time.Millisecond}, true},
		{"some time after a pause", []time.Duration{0, 5 * time.Second, 5*time.Second + 150*time.Millisecond}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := &Detector{Gap: 400 * time.Millisecond, Settle: 100 * time.Millisecond}
			var until time.Time
			for _, after := range s.looks {
				until = d.Look(start.Add(after))
			}
			if got := !until.IsZero(); got != s.wait {
				t.Errorf("got wait %t, want %t", got, s.wait)
			}
		})
	}
}
