package integration

import (
	"context"
	"os"
	"testing"
	"time"

	"poplarworks/measure/chaos"
)

// TestTheRandomisedRun performs two chaos runs with fixed seeds and 15 s of faults each. No check may find a violation.
func TestTheRandomisedRun(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		run := &chaos.Run{Seed: seed, Duration: 15 * time.Second, Entries: 5, Out: os.Stdout}
		report, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		report.Print(os.Stdout)
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if report.Counts["fees served"] < 100 || report.Counts["lookups served"] < 100 {
			t.Errorf("seed %d: got %d fees and %d lookups served, want at least 100 of each",
				seed, report.Counts["fees served"], report.Counts["lookups served"])
		}
	}
}

// TestTheRandomisedRunNoticesABrokenClaim guards against checks that can never fail. With the build tag mutant claims
// expire, so that a fee can run twice once the holder of its claim is killed, which every run does at least once.
func TestTheRandomisedRunNoticesABrokenClaim(t *testing.T) {
	for _, seed := range []uint64{10, 11} {
		run := &chaos.Run{Seed: seed, Duration: 5 * time.Second, Entries: 5, Tags: "mutant", Out: os.Stdout}
		report, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Violations) == 0 {
			t.Errorf("seed %d: got no violation although claims expire, want at least one", seed)
		}
	}
}
