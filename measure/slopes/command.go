package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/bench"
	"poplarworks/measure/fit"
	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
	"poplarworks/measure/report"
)

const (
	observationTime  = 8 * time.Second
	lookupsPerSecond = 200 // over all entries, so that digests of the load are not empty
	inForceTimeout   = 20 * time.Second
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "control traffic, CPU, memory and time until records are in force by numbers of entries, targets and records",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Value: []int{3, 6, 12, 24}},
			&cli.IntSliceFlag{Name: "targets", Value: []int{14, 100, 400, 1600}},
			&cli.IntSliceFlag{Name: "records", Value: []int{10, 100, 400}},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			out := c.Root().Writer
			if err := byEntries(ctx, out, c.IntSlice("entries")); err != nil {
				return err
			}
			if err := byTargets(out, c.IntSlice("targets")); err != nil {
				return err
			}
			return byRecords(out, c.IntSlice("records"))
		},
	}
}

func newPlan(entries int) plan.Plan {
	return plan.Plan{
		Entries: entries, DisableAssertions: true, LogLevel: "warning",
		Groups: []plan.Group{{Name: "status", Count: 14, Slots: 6, ReportLag: 20 * time.Millisecond}},
	}
}

func rule(name string) string {
	return fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": %q, "service": "status", "match": {"path-prefix": "/%s"}, "idempotent": true, "deadline": "2s"}`, name, name)
}

// byEntries measures fleets of several sizes, without load and under light load.
func byEntries(ctx context.Context, out io.Writer, sizes []int) error {
	table := &report.Table{
		Title:   "Of one entry, with 14 targets and 200 calls a second in all",
		Heading: []string{"entries", "control bytes/s out at rest", "with calls", "CPU at rest, % of a core", "memory, MB", "time in force, ms"},
	}
	bytesAtRest, bytesWithCalls, cpu, memory := &fit.Line{}, &fit.Line{}, &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		f, err := fleet.Start(newPlan(n))
		if err != nil {
			return err
		}
		if err := f.Put(f.Groups[0].Service(""), rule("status")); err != nil {
			f.Stop()
			return err
		}
		if _, err := f.InForce(2, inForceTimeout); err != nil {
			f.Stop()
			return err
		}
		atRest := observe(f, func() { time.Sleep(observationTime) })
		underLoad := observe(f, func() { offerLoad(ctx, f) })
		started := time.Now()
		if err := f.Put(rule("late")); err != nil {
			f.Stop()
			return err
		}
		_, err = f.InForce(3, inForceTimeout)
		elapsed := time.Since(started)
		f.Stop()
		if err != nil {
			return err
		}
		table.Row(n, fmt.Sprintf("%.0f", atRest.bytes), fmt.Sprintf("%.0f", underLoad.bytes), 100*atRest.cpu, atRest.memory, fmt.Sprintf("%d", elapsed.Milliseconds()))
		bytesAtRest.Add(float64(n-1), atRest.bytes)
		bytesWithCalls.Add(float64(n-1), underLoad.bytes)
		cpu.Add(float64(n-1), 100*atRest.cpu)
		memory.Add(float64(n-1), atRest.memory)
	}
	table.Print(out)
	printLine(out, "control bytes/s at rest", "peer", bytesAtRest)
	printLine(out, "control bytes/s with calls", "peer", bytesWithCalls)
	printLine(out, "CPU at rest, % of a core", "peer", cpu)
	printLine(out, "memory, MB", "peer", memory)
	return nil
}

func printLine(out io.Writer, quantity, unit string, line *fit.Line) {
	_, _ = fmt.Fprintf(out, "fit: %s = %.3f + %.4f for each %s\n", quantity, line.Base, line.Slope, unit)
}

// figures holds the means over all entries.
type figures struct {
	bytes  float64 // of control traffic sent per second
	cpu    float64 // share of one core
	memory float64 // MB
}

// observe runs a function and measures the entries from its start to its end.
func observe(f *fleet.Fleet, run func()) figures {
	n := float64(len(f.Entries))
	started := time.Now()
	var before, after, cpuBefore, cpuAfter, memory float64
	for _, e := range f.Entries {
		before += e.Metric("peer.bytes-out", "count")
		cpuBefore += e.Process().CPU().Seconds()
	}
	run()
	for _, e := range f.Entries {
		after += e.Metric("peer.bytes-out", "count")
		cpuAfter += e.Process().CPU().Seconds()
		memory += float64(e.Process().Memory()) / (1 << 20)
	}
	elapsed := time.Since(started).Seconds()
	return figures{bytes: (after - before) / n / elapsed, cpu: (cpuAfter - cpuBefore) / n / elapsed, memory: memory / n}
}

func offerLoad(ctx context.Context, f *fleet.Fleet) {
	generator := &loadgen.Generator{
		Rate: bench.Steady(lookupsPerSecond), Duration: observationTime, Seed: 1,
		Next: func(random *rand.Rand, _ time.Duration) loadgen.Request {
			e := f.Entries[random.IntN(len(f.Entries))]
			return loadgen.Request{Class: "lookup", Method: "GET", URL: e.CallerURL + "/status/1?work=20ms", Deadline: 2 * time.Second}
		},
	}
	generator.Run(ctx)
}

// byTargets measures the CPU and memory that the records of targets cost an entry which sends them no requests.
func byTargets(out io.Writer, sizes []int) error {
	table := &report.Table{Title: "Of one entry, by targets in its records", Heading: []string{"targets", "CPU at rest, % of a core", "memory, MB"}}
	cpu, memory := &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		measured, err := measureTargets(serviceRecords(n))
		if err != nil {
			return err
		}
		table.Row(n, 100*measured.cpu, measured.memory)
		cpu.Add(float64(n), 100*measured.cpu)
		memory.Add(float64(n), measured.memory)
	}
	table.Print(out)
	printLine(out, "CPU at rest, % of a core", "target", cpu)
	printLine(out, "memory, MB", "target", memory)
	return nil
}

const targetsPerService = 34 // as in a deployment of 5,400 targets in 160 services

// serviceRecords returns records of services with n targets in all; nothing listens at the addresses of the targets.
func serviceRecords(n int) []string {
	var records []string
	for first := 0; first < n; first += targetsPerService {
		var targets []string
		for i := first; i < min(n, first+targetsPerService); i++ {
			targets = append(targets, fmt.Sprintf(`{"name": "t%d", "address": "127.9.%d.%d:80"}`, i, i/250, 1+i%250))
		}
		records = append(records, fmt.Sprintf(`{"schema": 2, "kind": "service", "name": "s%d", "targets": [%s]}`, first, strings.Join(targets, ",")))
	}
	return records
}

func measureTargets(records []string) (figures, error) {
	f, err := fleet.Start(newPlan(1))
	if err != nil {
		return figures{}, err
	}
	defer f.Stop()
	if err := f.Put(records...); err != nil {
		return figures{}, err
	}
	return observe(f, func() { time.Sleep(observationTime) }), nil
}

// byRecords measures the memory and the time from the start of an entry until all records are in force there.
func byRecords(out io.Writer, sizes []int) error {
	table := &report.Table{Title: "Of one entry, by records", Heading: []string{"records", "memory, MB", "start until in force, ms"}}
	memory, start := &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		measured, elapsed, err := measureRecords(n)
		if err != nil {
			return err
		}
		table.Row(n, measured.memory, fmt.Sprintf("%d", elapsed.Milliseconds()))
		memory.Add(float64(n), measured.memory)
		start.Add(float64(n), float64(elapsed.Milliseconds()))
	}
	table.Print(out)
	printLine(out, "memory, MB", "record", memory)
	printLine(out, "start until in force, ms", "record", start)
	return nil
}

func measureRecords(n int) (figures, time.Duration, error) {
	f, err := fleet.Start(newPlan(1))
	if err != nil {
		return figures{}, 0, err
	}
	defer f.Stop()
	records := []string{f.Groups[0].Service("")}
	for i := 1; i < n; i++ {
		records = append(records, rule(fmt.Sprintf("r%d", i)))
	}
	if err := f.Put(records...); err != nil {
		return figures{}, 0, err
	}
	f.Entries[0].Kill()
	started := time.Now()
	if err := f.Entries[0].Start(); err != nil {
		return figures{}, 0, err
	}
	_, err = f.InForce(uint64(n), inForceTimeout)
	elapsed := time.Since(started)
	return observe(f, func() { time.Sleep(time.Second) }), elapsed, err
}
