package chaos

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the subcommand that performs chaos runs.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "chaos",
		Usage: "run callers and operators under random faults, and check every guarantee",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with consecutive seeds"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "time during which each run injects faults"},
			&cli.IntFlag{Name: "entries", Value: 5},
			&cli.StringFlag{Name: "tags", Usage: "build tags of the entries; with the tag mutant, claims expire on purpose"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			violations := 0
			for i := range c.Int("seeds") {
				run := &Run{
					Seed:     c.Uint64("seed") + uint64(i),
					Duration: c.Duration("duration"),
					Entries:  c.Int("entries"),
					Tags:     c.String("tags"),
					Out:      c.Root().Writer,
				}
				report, err := run.Do(ctx)
				if err != nil {
					return err
				}
				report.Print(c.Root().Writer)
				violations += len(report.Violations)
			}
			if violations > 0 {
				return cli.Exit(fmt.Sprintf("%d breaches", violations), 1)
			}
			return nil
		},
	}
}
