package faulty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/bench"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/report"
	"poplarworks/measure/scenario"
	"poplarworks/measure/tally"
	"poplarworks/measure/trouble"
)

const (
	load      = 0.5
	faultFor  = 4 * time.Second
	afterFor  = 3 * time.Second
	slowTimes = 10
)

// fault is a trouble that can be switched on and off.
type fault struct {
	name  string
	begin func(b *bench.Bench) error
	end   func(b *bench.Bench) error
}

func target(i int, faults trouble.Target) func(b *bench.Bench) error {
	return func(b *bench.Bench) error { return b.Groups[0].SetFaults(i, faults) }
}

func crash(i int) func(b *bench.Bench) error {
	return func(b *bench.Bench) error { return b.Groups[0].Crash(i) }
}

func none(*bench.Bench) error { return nil }

func faults() []fault {
	healthy := trouble.Target{}
	kill := func(b *bench.Bench) error { b.Fleet.Entries[2].Kill(); return nil }
	revive := func(b *bench.Bench) error { return b.Fleet.Entries[2].Start() }
	both := func(one, two func(b *bench.Bench) error) func(b *bench.Bench) error {
		return func(b *bench.Bench) error {
			if err := one(b); err != nil {
				return err
			}
			return two(b)
		}
	}
	slow, fast := target(0, trouble.Target{SlowFactor: slowTimes}), target(1, trouble.Target{FailFast: true})
	return []fault{
		{"none", none, none},
		{"straggler", slow, target(0, healthy)},
		{"fails fast", fast, target(1, healthy)},
		{"crash", crash(2), none},
		{"drain", target(3, trouble.Target{Drain: true}), both(crash(3), target(3, healthy))},
		{"lies and is slow", target(4, trouble.Target{Lie: true, SlowFactor: slowTimes}), target(4, healthy)},
		{"hangs", target(5, trouble.Target{Hang: true}), target(5, healthy)},
		{"entry killed", kill, revive},
		{"straggler and fails fast", both(slow, fast), both(target(0, healthy), target(1, healthy))},
		{"crash and entry killed", both(crash(2), kill), revive},
	}
}

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "share served and p99 during and after each fault, all pickers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "picker", Value: []string{bench.Product, bench.LeastOfTwo, bench.RoundRobin}},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	table := &report.Table{
		Title:   fmt.Sprintf("Lookups at %.0f%% of capacity, two of three entries take callers, seed %d", 100*load, c.Uint64("seed")),
		Heading: []string{"fault", "picker", "served during", "p99 during", "served after", "p99 after"},
	}
	for _, picker := range c.StringSlice("picker") {
		if err := measure(ctx, c, picker, table); err != nil {
			return err
		}
	}
	table.Print(c.Root().Writer)
	return nil
}

func measure(ctx context.Context, c *cli.Command, picker string, table *report.Table) error {
	b := &bench.Bench{Status: scenario.Status{Noisy: true, Seed: c.Uint64("seed")}, Picker: picker, Entries: 3}
	if err := b.Start(); err != nil {
		return err
	}
	defer b.Stop()
	rate := load * b.Status.Capacity()
	b.Settle(ctx, rate)
	for _, f := range faults() {
		if err := f.begin(b); err != nil {
			return err
		}
		during := offer(ctx, b, faultFor, rate)
		if err := f.end(b); err != nil {
			return err
		}
		after := offer(ctx, b, afterFor, rate)
		table.Row(f.name, picker, during.Share(), during.Quantile(99), after.Share(), after.Quantile(99))
	}
	return nil
}

// offer sends lookups to the entries that are not killed, as the platform's balancer would.
func offer(ctx context.Context, b *bench.Bench, span time.Duration, rate float64) *tally.Class {
	next := func(random *rand.Rand) loadgen.Request { return b.Status.Lookup(random, b.Fleet.Entries[:2]) }
	return b.Offer(ctx, span, 0, bench.Steady(rate), next).Class("lookup")
}
