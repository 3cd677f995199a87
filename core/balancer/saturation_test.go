package balancer

import "testing"

func TestNearsSaturation(t *testing.T) {
	scenarios := []struct {
		name     string
		inFlight int
		slots    float64
		want     bool
	}{
		{"the only request at one slot", 0, 1, false},
		{"the second of three slots", 1, 3, false},
		{"the last of three slots", 2, 3, true},
		{"the fourth of six slots", 3, 6, false},
		{"the fifth of six slots", 4, 6, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := nearsSaturation(s.inFlight, s.slots); got != s.want {
				t.Errorf("got %t, want %t", got, s.want)
			}
		})
	}
}
