package tail

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/bench"
	"poplarworks/measure/report"
	"poplarworks/measure/scenario"
	"poplarworks/measure/tally"
)

const (
	maxRatioToOracle     = 1.25 // bound on the product's tail latency divided by the oracle's
	maxRatioToRoundRobin = 0.5  // bound on the product's tail latency divided by round robin's
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "tail",
		Usage: "tail latency of short lookups at 14 targets of 3 slots, all pickers in one run",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "time for each picker at each load"},
			&cli.IntSliceFlag{Name: "load", Value: []int{60, 75, 90}, Usage: "percent of capacity"},
			&cli.StringSliceFlag{Name: "picker", Value: []string{bench.Product, bench.LeastOfTwo, bench.Random, bench.RoundRobin, bench.Oracle}},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "exponential", Usage: "draw slot times from an exponential distribution"},
			&cli.FloatFlag{Name: "hedge", Usage: "share of lookups that the product may hedge; the baselines never do"},
			&cli.IntFlag{Name: "choices", Usage: "number of targets that power-of-d compares"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	verdict := &report.Verdict{Out: out}
	for _, load := range c.IntSlice("load") {
		table := &report.Table{
			Title:   fmt.Sprintf("Lookups at %d%% of capacity, seed %d, %d entries", load, c.Uint64("seed"), c.Int("entries")),
			Heading: []string{"picker", "sent", "served in time", "p50", "p99", "p99.9"},
		}
		results := map[string]*tally.Class{}
		for _, picker := range c.StringSlice("picker") {
			result, err := measure(ctx, c, picker, float64(load)/100)
			if err != nil {
				return err
			}
			results[picker] = result
			table.Row(picker, result.Sent, result.Share(), result.Quantile(50), result.Quantile(99), result.Quantile(99.9))
		}
		table.Print(out)
		checkBounds(verdict, load, results)
	}
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func measure(ctx context.Context, c *cli.Command, picker string, load float64) (*tally.Class, error) {
	b := &bench.Bench{
		Status:  scenario.Status{Noisy: true, Exponential: c.Bool("exponential"), Seed: c.Uint64("seed")},
		Picker:  picker,
		Choices: c.Int("choices"),
		Entries: c.Int("entries"),
	}
	if picker == bench.Product {
		b.Hedges = c.Float("hedge")
	}
	if err := b.Start(); err != nil {
		return nil, err
	}
	defer b.Stop()
	rate := load * b.Status.Capacity()
	b.Settle(ctx, rate)
	return b.Offer(ctx, c.Duration("duration"), 0, bench.Steady(rate), b.Lookup).Class("lookup"), nil
}

// checkBounds compares the product's tail latencies with those of the baselines from the same run.
func checkBounds(verdict *report.Verdict, load int, results map[string]*tally.Class) {
	product, ok := results[bench.Product]
	if !ok {
		return
	}
	for _, quantile := range []float64{99, 99.9} {
		for name, maxRatio := range map[string]float64{bench.Oracle: maxRatioToOracle, bench.RoundRobin: maxRatioToRoundRobin, bench.LeastOfTwo: 1} {
			baseline, ok := results[name]
			if !ok {
				continue
			}
			ratio := float64(product.Quantile(quantile)) / float64(baseline.Quantile(quantile))
			verdict.AtMost(fmt.Sprintf("p%v at %d%% against %s", quantile, load, name), ratio, maxRatio)
		}
	}
}
