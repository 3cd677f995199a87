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

// TestTheRandomisedRunNoticesABrokenClaim shows that the checks can fail: the mutant lets claims lapse.
func TestTheRandomisedRunNoticesABrokenClaim(t *testing.T) {
	for seed := range uint64(4) {
		run := &chaos.Run{Seed: 10 + seed, Duration: 10 * time.Second, Entries: 5, Tags: "mutant", Out: os.Stdout}
		report, err := run.Do(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if len(report.Breaches) > 0 {
			return
		}
	}
	t.Error("got no breach with claims that lapse, want some")
}
