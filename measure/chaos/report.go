package chaos

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

const maxPrintedViolations = 40

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Counts     map[string]int
	Violations []string
}

func (r *Report) add(violations ...string) {
	r.Violations = append(r.Violations, violations...)
}

// Print writes the counts, and up to maxPrintedViolations violations.
func (r *Report) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "seed %d: %d breaches\n", r.Seed, len(r.Violations))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		_, _ = fmt.Fprintf(out, "  %-32s %d\n", name, r.Counts[name])
	}
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-maxPrintedViolations)
			return
		}
		_, _ = fmt.Fprintln(out, "  BREACH:", violation)
	}
}
