package pausedetector

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		name  string
		calls []time.Duration // times of the calls of Observe
		wait  bool
	}{
		{"the first call", []time.Duration{0}, false},
		{"a running process", []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond}, false},
		{"a pause", []time.Duration{0, 5 * time.Second}, true},
		{"within the settle time", []time.Duration{0, 5 * time.Second, 5*time.Second + 50*time.Millisecond}, true},
		{"after the settle time", []time.Duration{0, 5 * time.Second, 5*time.Second + 150*time.Millisecond}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			d := &Detector{MaxGap: 400 * time.Millisecond, SettleTime: 100 * time.Millisecond}
			var until time.Time
			for _, after := range s.calls {
				until = d.Observe(start.Add(after))
			}
			if got := !until.IsZero(); got != s.wait {
				t.Errorf("got wait %t, want %t", got, s.wait)
			}
		})
	}
}
