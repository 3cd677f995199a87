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
	slotTime        = 25 * time.Millisecond // of one request
	requestDeadline = 400 * time.Millisecond
	maxResends      = 2
	sliceWidth      = 500 * time.Millisecond
	baseLoad        = 0.4 // offered load as a share of capacity, before and after the peak
	peakLoad        = 1.8 // offered load as a share of capacity, at the peak
	baseDuration    = 4 * time.Second
	rampDuration    = 2 * time.Second // from the base load to the peak, and back
	peakDuration    = 6 * time.Second
	afterDuration   = 5 * time.Second
	recoveryTime    = time.Second // allowed after the peak before requests must be served in time again
	urgentShare     = 0.2         // share of the requests that match the rule with the high priority

	minShareOfCapacity = 0.95
	minShareInTime     = 0.99

	urgentRule = `{"schema": 2, "kind": "rule", "name": "ice-edge", "service": "status-reading",
		"match": {"path-prefix": "/ice"}, "idempotent": true, "priority": 9, "deadline": "400ms", "not-run-statuses": [503]}`
	ordinaryRule = `{"schema": 2, "kind": "rule", "name": "charts", "service": "status-reading",
		"match": {"path-prefix": "/charts"}, "idempotent": true, "priority": 1, "deadline": "400ms", "not-run-statuses": [503]}`
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "crest",
		Usage: "offered load that rises from 0.4 to 1.8 of capacity within 2 s and falls again, with callers that send failed requests again",
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
		Title:   fmt.Sprintf("Swing from %.1f to %.1f of capacity, seed %d, %d entries", baseLoad, peakLoad, c.Uint64("seed"), c.Int("entries")),
		Heading: []string{"picker", "in time at the peak, of capacity (worst slice)", "(mean)", "urgent in time", "ordinary in time", "in time from 1 s after", "p99 of those served", "sent again"},
	}
	for _, picker := range c.StringSlice("picker") {
		figures, err := measure(ctx, c, picker)
		if err != nil {
			return err
		}
		table.Row(picker, figures.worst, figures.mean, figures.urgent, figures.ordinary, figures.after, figures.p99, figures.resends)
		if picker == bench.Product {
			verdict.AtLeast("answers in time at the peak, of capacity, worst slice", figures.worst, minShareOfCapacity)
			verdict.AtLeast("urgent requests in time", figures.urgent, minShareInTime)
			verdict.AtLeast("in time from 1 s after the crest", figures.after, minShareInTime)
		}
	}
	table.Print(out)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func capacity() float64 {
	return scenario.StatusTargets * scenario.StatusSlots / slotTime.Seconds()
}

// offeredLoad returns the offered load as a share of capacity at a time since the start.
func offeredLoad(at time.Duration) float64 {
	rampUpStart := baseDuration
	peakStart := rampUpStart + rampDuration
	rampDownStart := peakStart + peakDuration
	switch {
	case at < rampUpStart:
		return baseLoad
	case at < peakStart:
		return baseLoad + (peakLoad-baseLoad)*float64(at-rampUpStart)/float64(rampDuration)
	case at < rampDownStart:
		return peakLoad
	case at < rampDownStart+rampDuration:
		return peakLoad - (peakLoad-baseLoad)*float64(at-rampDownStart)/float64(rampDuration)
	default:
		return baseLoad
	}
}

type figures struct {
	worst, mean, urgent, ordinary, after float64
	p99                                  time.Duration
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
	next := func(random *rand.Rand) loadgen.Request { return nextRequest(b, random) }
	b.Offer(ctx, rampDuration, 0, bench.Steady(baseLoad*capacity()), next)
	total := baseDuration + rampDuration + peakDuration + rampDuration + afterDuration
	rate := func(at time.Duration) float64 { return offeredLoad(at) * capacity() }
	return summarise(b.Offer(ctx, total, sliceWidth, rate, next)), nil
}

func nextRequest(b *bench.Bench, random *rand.Rand) loadgen.Request {
	class := "ordinary"
	path := "charts"
	if random.Float64() < urgentShare {
		class, path = "urgent", "ice"
	}
	e := b.Fleet.Entries[random.IntN(len(b.Fleet.Entries))]
	return loadgen.Request{
		Class:      class,
		Method:     "GET",
		URL:        fmt.Sprintf("%s/%s/%d?work=%s", e.CallerURL, path, random.IntN(1000), slotTime),
		Deadline:   requestDeadline,
		MaxResends: maxResends,
	}
}

// summarise computes the figures; those of the peak come only from slices that lie completely within it.
func summarise(result *tally.Result) figures {
	f := figures{worst: 1e9, resends: result.Resends()}
	peakSlices := 0
	var afterSent, afterInTime int
	peakStart := baseDuration + rampDuration
	rampDownEnd := peakStart + peakDuration + rampDuration
	for n := range result.Slices() {
		from := time.Duration(n) * sliceWidth
		urgent, ordinary := result.Slice(n, "urgent"), result.Slice(n, "ordinary")
		if from >= peakStart && from+sliceWidth <= peakStart+peakDuration {
			share := float64(urgent.InTime+ordinary.InTime) / (capacity() * sliceWidth.Seconds())
			f.worst = min(f.worst, share)
			f.mean += share
			peakSlices++
		}
		if from >= rampDownEnd+recoveryTime {
			afterSent += urgent.Sent + ordinary.Sent
			afterInTime += urgent.InTime + ordinary.InTime
		}
	}
	f.mean /= float64(max(1, peakSlices))
	f.urgent, f.ordinary = result.Class("urgent").Share(), result.Class("ordinary").Share()
	f.after = float64(afterInTime) / float64(max(1, afterSent))
	f.p99 = result.Class("ordinary").Quantile(99)
	return f
}
