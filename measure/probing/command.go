package probing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
	"poplarworks/measure/report"
)

const (
	targetCount         = 18
	slotsPerTarget      = 6
	probeCost           = 6 * time.Millisecond
	probeBudget         = 300 * time.Millisecond // target time that probes may use for each target and second
	lookupsPerSecond    = 300
	disturbanceInterval = 1500 * time.Millisecond
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "probes",
		Usage: "probes of Gelo's targets (6 ms each) while entries are restarted and cut off from their peers",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 6},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	f, err := fleet.Start(plan.Plan{
		Entries:     c.Int("entries"),
		PeerProxies: true,
		Groups: []plan.Group{{
			Name: "ice-edge", Count: targetCount, Slots: slotsPerTarget, Connections: 260, Work: 5 * time.Millisecond,
			ConnectCost: time.Millisecond, ProbeCost: probeCost, ReportLag: 20 * time.Millisecond,
		}},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	fields := fmt.Sprintf(`"capacity": {"slots": %d, "connections": 260, "max-entries": %d}, "probe": {"path": "/load", "cost": %q, "budget": %q}`,
		slotsPerTarget, c.Int("entries"), probeCost, probeBudget)
	err = f.Put(f.Groups[0].Service(fields),
		`{"schema": 2, "kind": "rule", "name": "ice", "service": "ice-edge", "match": {"path-prefix": "/ice"}, "idempotent": true, "deadline": "2s"}`)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, c.Duration("duration"))
	defer cancel()
	go disturb(limited, f, rand.New(rand.NewPCG(c.Uint64("seed"), 1)))
	generator := &loadgen.Generator{
		Rate: func(time.Duration) float64 { return lookupsPerSecond }, Duration: c.Duration("duration"), Seed: c.Uint64("seed"),
		Next: func(random *rand.Rand, _ time.Duration) loadgen.Request {
			e := f.Entries[random.IntN(len(f.Entries))]
			return loadgen.Request{Class: "lookup", Method: "GET", URL: e.CallerURL + "/ice/1", Deadline: 2 * time.Second}
		},
	}
	generator.Run(limited)
	return checkBounds(c, f)
}

// disturb repeatedly cuts an entry off from its peers, and restarts it half of the times, until the context ends.
func disturb(ctx context.Context, f *fleet.Fleet, random *rand.Rand) {
	for ctx.Err() == nil {
		e := f.Entries[random.IntN(len(f.Entries))]
		for _, l := range e.PeerLinks {
			l.Cut()
		}
		if random.IntN(2) == 0 {
			e.Kill()
			if err := e.Start(); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(disturbanceInterval):
		}
		for _, l := range e.PeerLinks {
			_ = l.Restore()
		}
	}
}

func checkBounds(c *cli.Command, f *fleet.Fleet) error {
	out := c.Root().Writer
	peaks, err := f.Groups[0].MaxProbesPerSecond()
	if err != nil {
		return err
	}
	highest, sum := 0, 0
	for _, peak := range peaks {
		highest = max(highest, peak)
		sum += peak
	}
	_, _ = fmt.Fprintf(out, "most probes within one second at any target: %d, mean of the targets' peaks: %.1f, budget: %d\n",
		highest, float64(sum)/float64(max(1, len(peaks))), int(probeBudget/probeCost))
	verdict := &report.Verdict{Out: out}
	verdict.AtMost("target time for probes in the worst second, ms", float64(highest)*float64(probeCost.Milliseconds()), float64(probeBudget.Milliseconds()))
	verdict.AtLeast("probes in the worst second, for the experiment to mean anything", float64(highest), 1)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}
