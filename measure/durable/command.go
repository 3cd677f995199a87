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
	writes       = 25
	lookPeriod   = 2 * time.Millisecond
	inForceBound = 3000.0 // ms
	leaveBound   = 2000.0 // ms
	limit        = 20 * time.Second
	lookupRate   = 300
	feeRate      = 60
	restFor      = 10 * time.Second
)

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "durable",
		Usage: "time in force, cost of a claim, store operations, an outage of the store, leaving, recovery",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 15},
			&cli.DurationFlag{Name: "outage", Value: 60 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

// experiment is the fleet and where the figures go.
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
	f, err := fleet.Start(plan.Plan{Entries: c.Int("entries"), NoAsserts: true, LogLevel: "warning", Groups: []plan.Group{status, fees}})
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
	if _, err := f.InForce(6, limit); err != nil {
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

// inForce writes records and looks at every entry until each has it.
func (x *experiment) inForce(context.Context) error {
	var spans []time.Duration
	for i := range writes {
		if err := x.Put(rule(`"status"`, fmt.Sprintf(`"/late%d"`, i), `"idempotent": true`)); err != nil {
			return err
		}
		accepted := time.Now()
		x.awaitAll(uint64(7 + i))
		spans = append(spans, time.Since(accepted))
	}
	slices.Sort(spans)
	x.print("acceptance as poplarctl reports it until in force on all %d entries, %d writes: median %.0f ms, worst %.0f ms",
		len(x.Entries), writes, milliseconds(spans[len(spans)/2]), milliseconds(spans[len(spans)-1]))
	x.verdict.AtMost("ms until in force everywhere, worst", milliseconds(spans[len(spans)-1]), inForceBound)
	return nil
}

func (x *experiment) awaitAll(revision uint64) {
	var group sync.WaitGroup
	end := time.Now().Add(limit)
	for _, e := range x.Entries {
		group.Go(func() {
			for time.Now().Before(end) {
				if status, err := e.Status(); err == nil && status.Revision >= revision {
					return
				}
				time.Sleep(lookPeriod)
			}
		})
	}
	group.Wait()
}

func (x *experiment) lookup(random *rand.Rand) loadgen.Shot {
	e := x.Entries[random.IntN(len(x.Entries))]
	return loadgen.Shot{Class: "lookup", Method: http.MethodGet, URL: e.CallerURL + "/status/1", Deadline: 2 * time.Second}
}

func (x *experiment) order(random *rand.Rand, class, path string) loadgen.Shot {
	e := x.Entries[random.IntN(len(x.Entries))]
	header := map[string]string{}
	if class == "fee" {
		header["Idempotency-Key"] = strconv.FormatUint(random.Uint64(), 36)
	}
	return loadgen.Shot{Class: class, Method: http.MethodPost, URL: e.CallerURL + path, Body: "5", Header: header, Deadline: 2 * time.Second}
}

func (x *experiment) offer(ctx context.Context, span time.Duration, rate float64, next func(random *rand.Rand) loadgen.Shot) *tally.Result {
	generator := &loadgen.Generator{
		Rate: bench.Steady(rate), Duration: span, Seed: x.seed,
		Next: func(random *rand.Rand, _ time.Duration) loadgen.Shot { return next(random) },
	}
	return generator.Run(ctx)
}

// claims compares orders with a claim and without one, side by side, and counts the store's operations.
func (x *experiment) claims(ctx context.Context) error {
	reads, stored, err := x.PlatformCounts()
	if err != nil {
		return err
	}
	time.Sleep(restFor)
	restReads, restWrites, err := x.PlatformCounts()
	if err != nil {
		return err
	}
	result := x.offer(ctx, restFor, 2*feeRate, func(random *rand.Rand) loadgen.Shot {
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
	span := restFor.Seconds()
	x.print("store operations a second, all entries: at rest %.1f reads and %.1f writes; with %.0f claimed orders a second %.1f reads and %.1f writes",
		float64(restReads-reads)/span, float64(restWrites-stored)/span, float64(fee.Sent)/span,
		float64(busyReads-restReads)/span, float64(busyWrites-restWrites)/span)
	return nil
}

// leaving lets targets say that they are leaving, under load, and finds the last new work there.
func (x *experiment) leaving(ctx context.Context) error {
	var worst time.Duration
	const times = 4
	for i := range times {
		begun := time.Now()
		time.AfterFunc(time.Second, func() { _ = x.Groups[0].SetFaults(i, trouble.Target{Drain: true}) })
		x.offer(ctx, 4*time.Second, lookupRate, x.lookup)
		executions, err := x.Groups[0].Executions()
		if err != nil {
			return err
		}
		sign := begun.Add(time.Second)
		for _, e := range executions {
			if e.Target == x.Groups[0].TargetName(i) && e.Drained {
				worst = max(worst, e.Started.Sub(sign))
			}
		}
		if err := x.Groups[0].Crash(i); err != nil {
			return err
		}
		if err := x.Groups[0].SetFaults(i, trouble.Target{}); err != nil {
			return err
		}
	}
	x.print("from a target's sign to the last new work there, %d times at %d lookups a second: worst %.0f ms", times, lookupRate, milliseconds(worst))
	x.verdict.AtMost("ms from the sign to the last new work", milliseconds(worst), leaveBound)
	return nil
}

// recovery kills entries and waits until they ask for callers again.
func (x *experiment) recovery(context.Context) error {
	for _, n := range []int{1, len(x.Entries) / 3, len(x.Entries)} {
		for _, e := range x.Entries[:n] {
			e.Kill()
		}
		begun := time.Now()
		for _, e := range x.Entries[:n] {
			if err := e.Start(); err != nil {
				return err
			}
		}
		err := x.AwaitFor("recovery", limit, func() bool {
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
		x.print("%d of %d entries killed and started again: ready with all records after %.0f ms", n, len(x.Entries), milliseconds(time.Since(begun)))
	}
	return nil
}

// outage takes the table service away and counts what is served.
func (x *experiment) outage(ctx context.Context, span time.Duration) error {
	if err := x.Platform("table", trouble.Platform{Outage: true}); err != nil {
		return err
	}
	result := x.offer(ctx, span, lookupRate+feeRate, func(random *rand.Rand) loadgen.Shot {
		if random.IntN(lookupRate+feeRate) < feeRate {
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
	after := x.offer(ctx, restFor, feeRate, func(random *rand.Rand) loadgen.Shot { return x.order(random, "fee", "/fees/1") }).Class("fee")
	x.print("in the %v after it: orders %d of %d served", restFor, after.InTime, after.Sent)
	x.verdict.AtLeast("share of lookups served in the outage", lookups.Share(), 0.999)
	return nil
}
