package shortlong

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/bench"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/report"
	"poplarworks/measure/scenario"
	"poplarworks/measure/tally"
)

const (
	longWorkFactor = 50   // work of a download divided by that of a lookup
	longShare      = 0.05 // of all requests
	busyShare      = 0.4  // share of the slots that are busy, downloads included
	maxP99Ratio    = 1.3  // p99 of lookups with downloads divided by that without

	buildRule = `{"schema": 2, "kind": "rule", "name": "build", "service": "status-reading",
		"match": {"methods": ["GET"], "path-prefix": "/builds"}, "idempotent": true, "class": "long", "deadline": "30s"}`
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "short-long",
		Usage: "short lookups with and without 5% of downloads, each of which runs 50 times longer",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	table := &report.Table{
		Title:   fmt.Sprintf("Lookups beside downloads, %.0f%% of the slots busy, seed %d, %d entries", 100*busyShare, c.Uint64("seed"), c.Int("entries")),
		Heading: []string{"picker", "downloads", "lookups", "p50", "p99", "p99.9", "downloads served"},
	}
	p99sByPicker := map[string][2]time.Duration{}
	for _, picker := range []string{bench.Product, bench.LeastOfTwo, bench.RoundRobin} {
		var p99s [2]time.Duration
		for i, long := range []bool{false, true} {
			result, err := measure(ctx, c, picker, long)
			if err != nil {
				return err
			}
			short := result.Class("lookup")
			p99s[i] = short.Quantile(99)
			table.Row(picker, long, short.Sent, short.Quantile(50), p99s[i], short.Quantile(99.9), result.Class("build").Share())
		}
		p99sByPicker[picker] = p99s
	}
	table.Print(out)
	verdict := &report.Verdict{Out: out}
	product := p99sByPicker[bench.Product]
	verdict.AtMost("short p99 with downloads against without", float64(product[1])/float64(product[0]), maxP99Ratio)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func measure(ctx context.Context, c *cli.Command, picker string, long bool) (*tally.Result, error) {
	b := &bench.Bench{
		Status:  scenario.Status{Seed: c.Uint64("seed")},
		Picker:  picker,
		Entries: c.Int("entries"),
		Rules:   []string{buildRule},
	}
	if err := b.Start(); err != nil {
		return nil, err
	}
	defer b.Stop()
	// A share longShare of all requests are downloads; all requests together keep the share busyShare of the slots busy.
	total := busyShare * b.Status.Capacity() / (1 - longShare + longShare*longWorkFactor)
	rate, next := (1-longShare)*total, b.Lookup
	if long {
		rate, next = total, func(random *rand.Rand) loadgen.Request { return nextMixed(b, random) }
	}
	b.Settle(ctx, rate)
	return b.Offer(ctx, c.Duration("duration"), 0, bench.Steady(rate), next), nil
}

func nextMixed(b *bench.Bench, random *rand.Rand) loadgen.Request {
	if random.Float64() >= longShare {
		return b.Lookup(random)
	}
	e := b.Fleet.Entries[random.IntN(len(b.Fleet.Entries))]
	return loadgen.Request{
		Class:    "build",
		Method:   "GET",
		URL:      fmt.Sprintf("%s/builds/%d?work=%s", e.CallerURL, random.IntN(100), longWorkFactor*scenario.StatusWork),
		Deadline: 30 * time.Second,
	}
}
