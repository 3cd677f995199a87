package report

import (
	"fmt"
	"io"
)

// Verdict compares figures with their bounds.
type Verdict struct {
	Out io.Writer

	missed int
}

// AtMost judges a figure that must not exceed its bound.
func (v *Verdict) AtMost(what string, got, bound float64) {
	v.judge(what, got, "at most", bound, got <= bound)
}

// AtLeast judges a figure that must not fall below its bound.
func (v *Verdict) AtLeast(what string, got, bound float64) {
	v.judge(what, got, "at least", bound, got >= bound)
}

func (v *Verdict) judge(what string, got float64, relation string, bound float64, met bool) {
	word := "met"
	if !met {
		word = "MISSED"
		v.missed++
	}
	_, _ = fmt.Fprintf(v.Out, "%s: %s: got %.3f, want %s %.3f\n", word, what, got, relation, bound)
}

// Missed returns the number of bounds that were not met.
func (v *Verdict) Missed() int {
	return v.missed
}
