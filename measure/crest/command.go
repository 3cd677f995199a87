package crest

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
	work      = 25 * time.Millisecond // slot time of a request
	deadline  = 400 * time.Millisecond
	resends   = 2
	slice     = 500 * time.Millisecond
	calm      = 0.4 // offered load against capacity
	peak      = 1.8
	calmFor   = 4 * time.Second
	swing     = 2 * time.Second
	peakFor   = 6 * time.Second
	afterFor  = 5 * time.Second
	recovery  = time.Second
	urgentBit = 0.2 // share of the requests that a rule with priority covers

	capacityBound = 0.95
	urgentBound   = 0.99

	urgentRule = `{"schema": 2, "kind": "rule", "name": "ice-edge", "service": "status-reading",
		"match": {"path-prefix": "/ice"}, "idempotent": true, "priority": 9, "deadline": "400ms", "not-run-statuses": [503]}`
	ordinaryRule = `{"schema": 2, "kind": "rule", "name": "charts", "service": "status-reading",
		"match": {"path-prefix": "/charts"}, "idempotent": true, "priority": 1, "deadline": "400ms", "not-run-statuses": [503]}`
)

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "crest",
		Usage: "offered load from 0.4 to 1.8 of capacity within 2 s and back, callers that re-send",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "picker", Value: []string{bench.Product, bench.LeastOfTwo, bench.RoundRobin}},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	verdict := &report.Verdict{Out: out}
	table := &report.Table{
		Title:   fmt.Sprintf("Swing from %.1f to %.1f of capacity, seed %d, %d entries", calm, peak, c.Uint64("seed"), c.Int("entries")),
		Heading: []string{"picker", "in time at the peak, of capacity (worst slice)", "(mean)", "urgent in time", "ordinary in time", "in time from 1 s after", "p99 of those served", "sent again"},
	}
	for _, picker := range c.StringSlice("picker") {
		figures, err := measure(ctx, c, picker)
		if err != nil {
			return err
		}
		table.Row(picker, figures.worst, figures.mean, figures.urgent, figures.ordinary, figures.after, figures.tail, figures.resends)
		if picker == bench.Product {
			verdict.AtLeast("answers in time at the peak, of capacity, worst slice", figures.worst, capacityBound)
			verdict.AtLeast("urgent requests in time", figures.urgent, urgentBound)
			verdict.AtLeast("in time from 1 s after the crest", figures.after, urgentBound)
		}
	}
	table.Print(out)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func capacity() float64 {
	return scenario.StatusTargets * scenario.StatusSlots / work.Seconds()
}

// offered is the load at a moment, against capacity.
func offered(at time.Duration) float64 {
	rise := calmFor
	top := rise + swing
	fall := top + peakFor
	switch {
	case at < rise:
		return calm
	case at < top:
		return calm + (peak-calm)*float64(at-rise)/float64(swing)
	case at < fall:
		return peak
	case at < fall+swing:
		return peak - (peak-calm)*float64(at-fall)/float64(swing)
	default:
		return calm
	}
}

type figures struct {
	worst, mean, urgent, ordinary, after float64
	tail                                 time.Duration
	resends                              int
}

func measure(ctx context.Context, c *cli.Command, picker string) (figures, error) {
	b := &bench.Bench{
		Status:  scenario.Status{Seed: c.Uint64("seed")},
		Picker:  picker,
		Entries: c.Int("entries"),
		Rules:   []string{urgentRule, ordinaryRule},
	}
	if err := b.Start(); err != nil {
		return figures{}, err
	}
	defer b.Stop()
	next := func(random *rand.Rand) loadgen.Shot { return shot(b, random) }
	b.Offer(ctx, swing, 0, bench.Steady(calm*capacity()), next)
	span := calmFor + swing + peakFor + swing + afterFor
	rate := func(at time.Duration) float64 { return offered(at) * capacity() }
	return read(b.Offer(ctx, span, slice, rate, next)), nil
}

func shot(b *bench.Bench, random *rand.Rand) loadgen.Shot {
	class := "ordinary"
	path := "charts"
	if random.Float64() < urgentBit {
		class, path = "urgent", "ice"
	}
	e := b.Fleet.Entries[random.IntN(len(b.Fleet.Entries))]
	return loadgen.Shot{
		Class:    class,
		Method:   "GET",
		URL:      fmt.Sprintf("%s/%s/%d?work=%s", e.CallerURL, path, random.IntN(1000), work),
		Deadline: deadline,
		Resend:   resends,
	}
}

// read takes the peak from the slices that lie wholly within it.
func read(result *tally.Result) figures {
	f := figures{worst: 1e9, resends: result.Resends()}
	peakSlices := 0
	var afterSent, afterInTime int
	top := calmFor + swing
	end := top + peakFor + swing
	for n := range result.Slices() {
		from := time.Duration(n) * slice
		urgent, ordinary := result.Slice(n, "urgent"), result.Slice(n, "ordinary")
		if from >= top && from+slice <= top+peakFor {
			share := float64(urgent.InTime+ordinary.InTime) / (capacity() * slice.Seconds())
			f.worst = min(f.worst, share)
			f.mean += share
			peakSlices++
		}
		if from >= end+recovery {
			afterSent += urgent.Sent + ordinary.Sent
			afterInTime += urgent.InTime + ordinary.InTime
		}
	}
	f.mean /= float64(max(1, peakSlices))
	f.urgent, f.ordinary = result.Class("urgent").Share(), result.Class("ordinary").Share()
	f.after = float64(afterInTime) / float64(max(1, afterSent))
	f.tail = result.Class("ordinary").Quantile(99)
	return f
}
