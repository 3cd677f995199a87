package durable

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/bench"
	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
	"poplarworks/measure/report"
	"poplarworks/measure/tally"
	"poplarworks/measure/trouble"
)

const (
	recordWrites     = 25
	pollInterval     = 2 * time.Millisecond
	maxInForceMs     = 3000.0
	maxLeaveMs       = 2000.0
	waitTimeout      = 20 * time.Second
	lookupsPerSecond = 300
	feesPerSecond    = 60
	observationTime  = 10 * time.Second
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "durable",
		Usage: "time until records are in force, cost of a claim, store operations, a store outage, draining targets, recovery",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 15},
			&cli.DurationFlag{Name: "outage", Value: 60 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

// experiment holds the fleet, and where the figures and the results of checks are written.
type experiment struct {
	*fleet.Fleet

	out     io.Writer
	verdict *report.Verdict
	seed    uint64
}

func run(ctx context.Context, c *cli.Command) error {
	group := plan.Group{Count: 7, Slots: 6, Work: 5 * time.Millisecond, ConnectCost: time.Millisecond, ReportLag: 20 * time.Millisecond}
	status, fees := group, group
	status.Name, fees.Name = "status", "fees"
	f, err := fleet.Start(plan.Plan{Entries: c.Int("entries"), DisableAssertions: true, LogLevel: "warning", Groups: []plan.Group{status, fees}})
	if err != nil {
		return err
	}
	defer f.Stop()
	err = f.Put(
		fmt.Sprintf(`{"schema": 2, "kind": "limits", "name": "default", "reads-per-second": 1500, "writes-per-second": 450, "max-entries": %d}`, c.Int("entries")),
		f.Groups[0].Service(""), f.Groups[1].Service(""),
		rule(`"status"`, `"/status"`, `"idempotent": true`),
		rule(`"fees"`, `"/fees"`, `"idempotent": false`),
		rule(`"fees"`, `"/notes"`, `"idempotent": false, "idempotency-key": {"required": false}`),
	)
	if err != nil {
		return err
	}
	x := &experiment{Fleet: f, out: c.Root().Writer, verdict: &report.Verdict{Out: c.Root().Writer}, seed: c.Uint64("seed")}
	if _, err := f.InForce(6, waitTimeout); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{x.inForce, x.claims, x.leaving, x.recovery} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := x.outage(ctx, c.Duration("outage")); err != nil {
		return err
	}
	if x.verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(x.verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func rule(service, path, extra string) string {
	name := "r-" + path[2:len(path)-1]
	return fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": %q, "service": %s, "match": {"path-prefix": %s}, "deadline": "2s", "not-run-statuses": [503], %s}`,
		name, service, path, extra)
}

func (x *experiment) print(format string, args ...any) {
	_, _ = fmt.Fprintf(x.out, format+"\n", args...)
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}

// inForce writes records one at a time and polls every entry until each record is in force everywhere.
func (x *experiment) inForce(context.Context) error {
	var durations []time.Duration
	for i := range recordWrites {
		if err := x.Put(rule(`"status"`, fmt.Sprintf(`"/late%d"`, i), `"idempotent": true`)); err != nil {
			return err
		}
		accepted := time.Now()
		x.awaitAll(uint64(7 + i))
		durations = append(durations, time.Since(accepted))
	}
	slices.Sort(durations)
	x.print("acceptance as poplarctl reports it until in force on all %d entries, %d writes: median %.0f ms, worst %.0f ms",
		len(x.Entries), recordWrites, milliseconds(durations[len(durations)/2]), milliseconds(durations[len(durations)-1]))
	x.verdict.AtMost("ms until in force everywhere, worst", milliseconds(durations[len(durations)-1]), maxInForceMs)
	return nil
}

func (x *experiment) awaitAll(revision uint64) {
	var group sync.WaitGroup
	deadline := time.Now().Add(waitTimeout)
	for _, e := range x.Entries {
		group.Go(func() {
			for time.Now().Before(deadline) {
				if status, err := e.Status(); err == nil && status.Revision >= revision {
					return
				}
				time.Sleep(pollInterval)
			}
		})
	}
	group.Wait()
}

func (x *experiment) lookup(random *rand.Rand) loadgen.Request {
	e := x.Entries[random.IntN(len(x.Entries))]
	return loadgen.Request{Class: "lookup", Method: http.MethodGet, URL: e.CallerURL + "/status/1", Deadline: 2 * time.Second}
}

func (x *experiment) order(random *rand.Rand, class, path string) loadgen.Request {
	e := x.Entries[random.IntN(len(x.Entries))]
	header := map[string]string{}
	if class == "fee" {
		header["Idempotency-Key"] = strconv.FormatUint(random.Uint64(), 36)
	}
	return loadgen.Request{Class: class, Method: http.MethodPost, URL: e.CallerURL + path, Body: "5", Header: header, Deadline: 2 * time.Second}
}

func (x *experiment) offer(ctx context.Context, span time.Duration, rate float64, next func(random *rand.Rand) loadgen.Request) *tally.Result {
	generator := &loadgen.Generator{
		Rate: bench.Steady(rate), Duration: span, Seed: x.seed,
		Next: func(random *rand.Rand, _ time.Duration) loadgen.Request { return next(random) },
	}
	return generator.Run(ctx)
}

// claims compares orders with and without a claim, mixed in one run, and counts the operations at the store.
func (x *experiment) claims(ctx context.Context) error {
	storeReads, storeWrites, err := x.PlatformCounts()
	if err != nil {
		return err
	}
	time.Sleep(observationTime)
	restReads, restWrites, err := x.PlatformCounts()
	if err != nil {
		return err
	}
	result := x.offer(ctx, observationTime, 2*feesPerSecond, func(random *rand.Rand) loadgen.Request {
		if random.IntN(2) == 0 {
			return x.order(random, "fee", "/fees/1")
		}
		return x.order(random, "note", "/notes/1")
	})
	busyReads, busyWrites, err := x.PlatformCounts()
	if err != nil {
		return err
	}
	fee, note := result.Class("fee"), result.Class("note")
	x.print("orders with a claim: %d, p50 %.2f ms, p99 %.2f ms; without: p50 %.2f ms, p99 %.2f ms; added at p50 %.2f ms",
		fee.Sent, milliseconds(fee.Quantile(50)), milliseconds(fee.Quantile(99)), milliseconds(note.Quantile(50)),
		milliseconds(note.Quantile(99)), milliseconds(fee.Quantile(50)-note.Quantile(50)))
	span := observationTime.Seconds()
	x.print("store operations a second, all entries: at rest %.1f reads and %.1f writes; with %.0f claimed orders a second %.1f reads and %.1f writes",
		float64(restReads-storeReads)/span, float64(restWrites-storeWrites)/span, float64(fee.Sent)/span,
		float64(busyReads-restReads)/span, float64(busyWrites-restWrites)/span)
	return nil
}

// leaving makes targets announce under load that they drain, and finds the last request that each started afterwards.
func (x *experiment) leaving(ctx context.Context) error {
	var worst time.Duration
	const repetitions = 4
	for i := range repetitions {
		started := time.Now()
		time.AfterFunc(time.Second, func() { _ = x.Groups[0].SetFaults(i, trouble.Target{Drain: true}) })
		x.offer(ctx, 4*time.Second, lookupsPerSecond, x.lookup)
		executions, err := x.Groups[0].Executions()
		if err != nil {
			return err
		}
		drainedAt := started.Add(time.Second)
		for _, e := range executions {
			if e.Target == x.Groups[0].TargetName(i) && e.Drained {
				worst = max(worst, e.Started.Sub(drainedAt))
			}
		}
		if err := x.Groups[0].Crash(i); err != nil {
			return err
		}
		if err := x.Groups[0].SetFaults(i, trouble.Target{}); err != nil {
			return err
		}
	}
	x.print("from a target's sign to the last new work there, %d times at %d lookups a second: worst %.0f ms", repetitions, lookupsPerSecond, milliseconds(worst))
	x.verdict.AtMost("ms from the sign to the last new work", milliseconds(worst), maxLeaveMs)
	return nil
}

// recovery kills entries, starts them again and waits until they report that they are ready.
func (x *experiment) recovery(context.Context) error {
	for _, n := range []int{1, len(x.Entries) / 3, len(x.Entries)} {
		for _, e := range x.Entries[:n] {
			e.Kill()
		}
		started := time.Now()
		for _, e := range x.Entries[:n] {
			if err := e.Start(); err != nil {
				return err
			}
		}
		err := x.AwaitWithin("recovery", waitTimeout, func() bool {
			for _, e := range x.Entries[:n] {
				if !e.Ready() {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		x.print("%d of %d entries killed and started again: ready with all records after %.0f ms", n, len(x.Entries), milliseconds(time.Since(started)))
	}
	return nil
}

// outage makes the table service unavailable and counts the requests that are served meanwhile and afterwards.
func (x *experiment) outage(ctx context.Context, span time.Duration) error {
	if err := x.Platform("table", trouble.Platform{Outage: true}); err != nil {
		return err
	}
	result := x.offer(ctx, span, lookupsPerSecond+feesPerSecond, func(random *rand.Rand) loadgen.Request {
		if random.IntN(lookupsPerSecond+feesPerSecond) < feesPerSecond {
			return x.order(random, "fee", "/fees/1")
		}
		return x.lookup(random)
	})
	if err := x.Platform("table", trouble.Platform{}); err != nil {
		return err
	}
	lookups, fees := result.Class("lookup"), result.Class("fee")
	x.print("store out for %v: lookups %d of %d served (p99 %.1f ms), orders %d of %d served; orders' outcomes: %v",
		span, lookups.InTime, lookups.Sent, milliseconds(lookups.Quantile(99)), fees.InTime, fees.Sent, fees.Outcomes)
	after := x.offer(ctx, observationTime, feesPerSecond, func(random *rand.Rand) loadgen.Request { return x.order(random, "fee", "/fees/1") }).Class("fee")
	x.print("in the %v after it: orders %d of %d served", observationTime, after.InTime, after.Sent)
	x.verdict.AtLeast("share of lookups served in the outage", lookups.Share(), 0.999)
	return nil
}
