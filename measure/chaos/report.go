package chaos

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

const printedBreaches = 40

// Report is what came of a run.
type Report struct {
	Seed     uint64
	Counts   map[string]int
	Breaches []string
}

func (r *Report) add(breaches ...string) {
	r.Breaches = append(r.Breaches, breaches...)
}

// Print writes the counts and the breaches.
func (r *Report) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "seed %d: %d breaches\n", r.Seed, len(r.Breaches))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		_, _ = fmt.Fprintf(out, "  %-32s %d\n", name, r.Counts[name])
	}
	for i, breach := range r.Breaches {
		if i == printedBreaches {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(r.Breaches)-printedBreaches)
			return
		}
		_, _ = fmt.Fprintln(out, "  BREACH:", breach)
	}
}
