package integration

import (
	"context"
	"os"
	"testing"
	"time"

	"poplarworks/measure/chaos"
)

// TestTheRandomisedRun takes 30 s of faults in all, with fixed seeds.
func TestTheRandomisedRun(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		run := &chaos.Run{Seed: seed, Duration: 15 * time.Second, Entries: 5, Out: os.Stdout}
		report, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		report.Print(os.Stdout)
		for _, breach := range report.Breaches {
			t.Errorf("seed %d: %s", seed, breach)
		}
		if report.Counts["fees served"] < 100 || report.Counts["lookups served"] < 100 {
			t.Errorf("seed %d: got %d fees and %d lookups served, want enough for the run to mean anything",
				seed, report.Counts["fees served"], report.Counts["lookups served"])
		}
	}
}

// TestTheRandomisedRunNoticesABrokenClaim shows that the checks can fail: the mutant lets claims lapse, and every run kills the
// holder of a claim at least once.
func TestTheRandomisedRunNoticesABrokenClaim(t *testing.T) {
	for _, seed := range []uint64{10, 11} {
		run := &chaos.Run{Seed: seed, Duration: 5 * time.Second, Entries: 5, Tags: "mutant", Out: os.Stdout}
		report, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Breaches) == 0 {
			t.Errorf("seed %d: got no breach with claims that lapse, want some", seed)
		}
	}
}
