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
	load          = 0.5
	faultDuration = 4 * time.Second
	afterDuration = 3 * time.Second
	slowFactor    = 10
)

// fault is a fault, or two at once, with functions that inject and remove it.
type fault struct {
	name  string
	begin func(b *bench.Bench) error
	end   func(b *bench.Bench) error
}

func setFaults(i int, faults trouble.Target) func(b *bench.Bench) error {
	return func(b *bench.Bench) error { return b.Groups[0].SetFaults(i, faults) }
}

func crash(i int) func(b *bench.Bench) error {
	return func(b *bench.Bench) error { return b.Groups[0].Crash(i) }
}

func nothing(*bench.Bench) error { return nil }

func faults() []fault {
	healthy := trouble.Target{}
	kill := func(b *bench.Bench) error { b.Fleet.Entries[2].Kill(); return nil }
	restart := func(b *bench.Bench) error { return b.Fleet.Entries[2].Start() }
	both := func(first, second func(b *bench.Bench) error) func(b *bench.Bench) error {
		return func(b *bench.Bench) error {
			if err := first(b); err != nil {
				return err
			}
			return second(b)
		}
	}
	slow, failFast := setFaults(0, trouble.Target{SlowFactor: slowFactor}), setFaults(1, trouble.Target{FailFast: true})
	return []fault{
		{"none", nothing, nothing},
		{"straggler", slow, setFaults(0, healthy)},
		{"fails fast", failFast, setFaults(1, healthy)},
		{"crash", crash(2), nothing},
		{"drain", setFaults(3, trouble.Target{Drain: true}), both(crash(3), setFaults(3, healthy))},
		{"lies and is slow", setFaults(4, trouble.Target{Lie: true, SlowFactor: slowFactor}), setFaults(4, healthy)},
		{"hangs", setFaults(5, trouble.Target{Hang: true}), setFaults(5, healthy)},
		{"entry killed", kill, restart},
		{"straggler and fails fast", both(slow, failFast), both(setFaults(0, healthy), setFaults(1, healthy))},
		{"crash and entry killed", both(crash(2), kill), restart},
	}
}

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "share of lookups served and p99 during and after each fault, for all pickers",
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
		during := offer(ctx, b, faultDuration, rate)
		if err := f.end(b); err != nil {
			return err
		}
		after := offer(ctx, b, afterDuration, rate)
		table.Row(f.name, picker, during.Share(), during.Quantile(99), after.Share(), after.Quantile(99))
	}
	return nil
}

// offer sends lookups only to the entries that no fault kills, as the platform's balancer would.
func offer(ctx context.Context, b *bench.Bench, duration time.Duration, rate float64) *tally.Class {
	next := func(random *rand.Rand) loadgen.Request { return b.Status.Lookup(random, b.Fleet.Entries[:2]) }
	return b.Offer(ctx, duration, 0, bench.Steady(rate), next).Class("lookup")
}
