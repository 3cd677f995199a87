package chaos

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "chaos",
		Usage: "run callers, operators and faults at random, and check every promise",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, with seeds that follow each other"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "of each run"},
			&cli.IntFlag{Name: "entries", Value: 5},
			&cli.StringFlag{Name: "tags", Usage: "build tags; mutant breaks the claim on purpose"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			breaches := 0
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
				breaches += len(report.Breaches)
			}
			if breaches > 0 {
				return cli.Exit(fmt.Sprintf("%d breaches", breaches), 1)
			}
			return nil
		},
	}
}
