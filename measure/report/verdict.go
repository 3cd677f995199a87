package report

import (
	"fmt"
	"io"
)

// Verdict compares figures with their bounds, prints the results and counts the bounds that are not met.
type Verdict struct {
	Out io.Writer

	missed int
}

// AtMost checks that a figure does not exceed its bound.
func (v *Verdict) AtMost(name string, value, bound float64) {
	v.check(name, value, "at most", bound, value <= bound)
}

// AtLeast checks that a figure does not fall below its bound.
func (v *Verdict) AtLeast(name string, value, bound float64) {
	v.check(name, value, "at least", bound, value >= bound)
}

func (v *Verdict) check(name string, value float64, relation string, bound float64, met bool) {
	word := "met"
	if !met {
		word = "MISSED"
		v.missed++
	}
	_, _ = fmt.Fprintf(v.Out, "%s: %s: got %.3f, want %s %.3f\n", word, name, value, relation, bound)
}

// Missed returns the number of bounds that were not met.
func (v *Verdict) Missed() int {
	return v.missed
}
