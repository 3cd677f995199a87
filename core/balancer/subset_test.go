package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSubsetsCoverAllTargets(t *testing.T) {
	const targets, entries, size = 120, 100, 24
	coverage := map[string]int{}
	for e := range entries {
		s := record(targets, 3)
		s.LoadProbes, s.MaxProbedTargets = 4, size
		for i := range s.Targets {
			s.Targets[i].DataCentre = fmt.Sprintf("dc%d", i%3)
		}
		b := &Balancer{Self: fmt.Sprintf("entry-%d", e), DataCentre: "dc0", Random: rand.New(rand.NewPCG(1, 2))}
		b.Configure(time.Unix(1_800_000_000, 0), s)
		if got := len(b.subset); got != size {
			t.Fatalf("got a subset of %d, want %d", got, size)
		}
		local := 0
		for _, target := range b.subset {
			coverage[target.record.Name]++
			if target.record.DataCentre == b.DataCentre {
				local++
			}
		}
		if want := size * 2 / 3; local != want {
			t.Fatalf("got %d targets of this data centre, want %d", local, want)
		}
	}
	if len(coverage) != targets {
		t.Errorf("got %d targets in some subset, want %d", len(coverage), targets)
	}
}
