package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

// Default size of a run.
const (
	EntryCount  = 4
	TargetCount = 8
)

// Command returns the subcommand that performs soak runs.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entries for the users' platform under random faults, and check every guarantee",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.IntFlag{Name: "entries", Value: EntryCount},
			&cli.IntFlag{Name: "targets", Value: TargetCount},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time during which each run injects faults"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			failed := 0
			for i := range c.Int("seeds") {
				run := &Run{
					Seed: c.Uint64("seed") + uint64(i), Duration: c.Duration("duration"), Entries: c.Int("entries"), Targets: c.Int("targets"),
					Out: c.Root().Writer,
				}
				violations, served, err := run.Do(ctx)
				if err != nil {
					return err
				}
				run.logf("seed %d: %d served, %d breaches", run.Seed, served, len(violations))
				for _, violation := range violations {
					run.logf("  %s", violation)
				}
				failed += min(1, len(violations))
			}
			if failed > 0 {
				return cli.Exit(fmt.Sprintf("%d of %d runs broke a promise", failed, c.Int("seeds")), 1)
			}
			return nil
		},
	}
}
