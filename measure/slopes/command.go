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
	quietFor     = 8 * time.Second
	lookupRate   = 200 // calls a second in all, so that digests have something to say
	inForceLimit = 20 * time.Second
)

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "control traffic, CPU, memory and time in force against entries, targets and records",
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

func layout(entries int) plan.Plan {
	return plan.Plan{
		Entries: entries, NoAsserts: true, LogLevel: "warning",
		Groups: []plan.Group{{Name: "status", Count: 14, Slots: 6, ReportLag: 20 * time.Millisecond}},
	}
}

func rule(name string) string {
	return fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": %q, "service": "status", "match": {"path-prefix": "/%s"}, "idempotent": true, "deadline": "2s"}`, name, name)
}

// byEntries measures fleets of several sizes at rest and under a little load.
func byEntries(ctx context.Context, out io.Writer, sizes []int) error {
	table := &report.Table{
		Title:   "Of one entry, with 14 targets and 200 calls a second in all",
		Heading: []string{"entries", "control bytes/s out at rest", "with calls", "CPU at rest, % of a core", "memory, MB", "time in force, ms"},
	}
	rest, busy, cpu, memory := &fit.Line{}, &fit.Line{}, &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		f, err := fleet.Start(layout(n))
		if err != nil {
			return err
		}
		if err := f.Put(f.Groups[0].Service(""), rule("status")); err != nil {
			f.Stop()
			return err
		}
		if _, err := f.InForce(2, inForceLimit); err != nil {
			f.Stop()
			return err
		}
		quiet := observe(f, func() { time.Sleep(quietFor) })
		loaded := observe(f, func() { offer(ctx, f) })
		begun := time.Now()
		if err := f.Put(rule("late")); err != nil {
			f.Stop()
			return err
		}
		_, err = f.InForce(3, inForceLimit)
		took := time.Since(begun)
		f.Stop()
		if err != nil {
			return err
		}
		table.Row(n, fmt.Sprintf("%.0f", quiet.bytes), fmt.Sprintf("%.0f", loaded.bytes), 100*quiet.cpu, quiet.memory, fmt.Sprintf("%d", took.Milliseconds()))
		rest.Add(float64(n-1), quiet.bytes)
		busy.Add(float64(n-1), loaded.bytes)
		cpu.Add(float64(n-1), 100*quiet.cpu)
		memory.Add(float64(n-1), quiet.memory)
	}
	table.Print(out)
	printLine(out, "control bytes/s at rest", "peer", rest)
	printLine(out, "control bytes/s with calls", "peer", busy)
	printLine(out, "CPU at rest, % of a core", "peer", cpu)
	printLine(out, "memory, MB", "peer", memory)
	return nil
}

func printLine(out io.Writer, what, unit string, line *fit.Line) {
	_, _ = fmt.Fprintf(out, "fit: %s = %.3f + %.4f for each %s\n", what, line.Base, line.Slope, unit)
}

// figures are means over the entries.
type figures struct {
	bytes  float64 // of control traffic sent, a second
	cpu    float64 // share of a core
	memory float64 // MB
}

func observe(f *fleet.Fleet, act func()) figures {
	n := float64(len(f.Entries))
	begun := time.Now()
	var before, after, cpuBefore, cpuAfter, memory float64
	for _, e := range f.Entries {
		before += e.Metric("peer.bytes-out", "count")
		cpuBefore += e.Process().CPU().Seconds()
	}
	act()
	for _, e := range f.Entries {
		after += e.Metric("peer.bytes-out", "count")
		cpuAfter += e.Process().CPU().Seconds()
		memory += float64(e.Process().Memory()) / (1 << 20)
	}
	took := time.Since(begun).Seconds()
	return figures{bytes: (after - before) / n / took, cpu: (cpuAfter - cpuBefore) / n / took, memory: memory / n}
}

func offer(ctx context.Context, f *fleet.Fleet) {
	generator := &loadgen.Generator{
		Rate: bench.Steady(lookupRate), Duration: quietFor, Seed: 1,
		Next: func(random *rand.Rand, _ time.Duration) loadgen.Shot {
			e := f.Entries[random.IntN(len(f.Entries))]
			return loadgen.Shot{Class: "lookup", Method: "GET", URL: e.CallerURL + "/status/1?work=20ms", Deadline: 2 * time.Second}
		},
	}
	generator.Run(ctx)
}

// byTargets measures what the record of a target costs an entry that sends it nothing.
func byTargets(out io.Writer, sizes []int) error {
	table := &report.Table{Title: "Of one entry, by targets in its records", Heading: []string{"targets", "CPU at rest, % of a core", "memory, MB"}}
	cpu, memory := &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		got, err := withService(targetList(n))
		if err != nil {
			return err
		}
		table.Row(n, 100*got.cpu, got.memory)
		cpu.Add(float64(n), 100*got.cpu)
		memory.Add(float64(n), got.memory)
	}
	table.Print(out)
	printLine(out, "CPU at rest, % of a core", "target", cpu)
	printLine(out, "memory, MB", "target", memory)
	return nil
}

const targetsOfAService = 34 // 5,400 targets in 160 services

// targetList returns services of that size, with n targets in all; nothing listens at their addresses.
func targetList(n int) []string {
	var records []string
	for first := 0; first < n; first += targetsOfAService {
		var targets []string
		for i := first; i < min(n, first+targetsOfAService); i++ {
			targets = append(targets, fmt.Sprintf(`{"name": "t%d", "address": "127.9.%d.%d:80"}`, i, i/250, 1+i%250))
		}
		records = append(records, fmt.Sprintf(`{"schema": 2, "kind": "service", "name": "s%d", "targets": [%s]}`, first, strings.Join(targets, ",")))
	}
	return records
}

func withService(records []string) (figures, error) {
	f, err := fleet.Start(layout(1))
	if err != nil {
		return figures{}, err
	}
	defer f.Stop()
	if err := f.Put(records...); err != nil {
		return figures{}, err
	}
	return observe(f, func() { time.Sleep(quietFor) }), nil
}

// byRecords measures memory and the time until a starting entry has all records in force.
func byRecords(out io.Writer, sizes []int) error {
	table := &report.Table{Title: "Of one entry, by records", Heading: []string{"records", "memory, MB", "start until in force, ms"}}
	memory, start := &fit.Line{}, &fit.Line{}
	for _, n := range sizes {
		got, took, err := withRecords(n)
		if err != nil {
			return err
		}
		table.Row(n, got.memory, fmt.Sprintf("%d", took.Milliseconds()))
		memory.Add(float64(n), got.memory)
		start.Add(float64(n), float64(took.Milliseconds()))
	}
	table.Print(out)
	printLine(out, "memory, MB", "record", memory)
	printLine(out, "start until in force, ms", "record", start)
	return nil
}

func withRecords(n int) (figures, time.Duration, error) {
	f, err := fleet.Start(layout(1))
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
	begun := time.Now()
	if err := f.Entries[0].Start(); err != nil {
		return figures{}, 0, err
	}
	_, err = f.InForce(uint64(n), inForceLimit)
	took := time.Since(begun)
	return observe(f, func() { time.Sleep(time.Second) }), took, err
}
