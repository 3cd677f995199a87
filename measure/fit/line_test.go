package fit

import (
	"math"
	"testing"
)

func TestLine(t *testing.T) {
	scenarios := []struct {
		name        string
		points      [][2]float64
		base, slope float64
	}{
		{"points on a line", [][2]float64{{1, 5}, {2, 7}, {4, 11}}, 3, 2},
		{"points off the line", [][2]float64{{0, 0}, {1, 2}, {2, 2}}, 1.0 / 3, 1},
		{"one point", [][2]float64{{3, 8}}, 8, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			line := &Line{}
			for _, p := range s.points {
				line.Add(p[0], p[1])
			}
			if math.Abs(line.Base-s.base) > 1e-9 || math.Abs(line.Slope-s.slope) > 1e-9 {
				t.Errorf("got %v + %v x, want %v + %v x", line.Base, line.Slope, s.base, s.slope)
			}
		})
	}
}
