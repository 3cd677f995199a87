package conformance

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Command returns the subcommand that compares exchanges through entries with direct ones.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "conformance",
		Usage: "play generated exchanges directly and through entries, and compare what clients and targets see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Value: 20, Usage: "number of runs, with consecutive seeds"},
			&cli.IntFlag{Name: "checks", Value: 1, Usage: "sequences of exchanges in each run"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := newEnvironment(ctx)
			if err != nil {
				return err
			}
			defer e.stop()
			failed, played := 0, int64(0)
			for i := range c.Int("seeds") {
				r := &run{ctx: ctx, environment: e, seed: c.Uint64("seed") + uint64(i), checks: c.Int("checks"), out: c.Root().Writer}
				if !r.do() {
					r.Logf("seed %d first found, %s", r.seed, r.first)
					failed++
				}
				played += r.played.Load()
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%d of %d seeds found a difference in %d exchanges\n", failed, c.Int("seeds"), played)
			if failed > 0 {
				return cli.Exit("", 1)
			}
			return nil
		},
	}
}
