package added

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
	"poplarworks/measure/report"
	"poplarworks/measure/tally"
)

const (
	directClass = "straight"
	entryClass  = "through an entry"

	maxAddedMs           = 0.99 // at p99
	overloadP99Ms        = 50   // a higher p99 shows that the entry cannot sustain the rate
	initialRate          = 2000 // calls a second
	rateFactor           = 1.25 // between two trials
	shareOfCapacity      = 0.6  // the load at which the added time is measured
	idleConnections      = 1000 // open while memory is measured
	turnDuration         = time.Second
	targetCount          = 16
	connectionsPerTarget = 220
	slotsPerTarget       = 64
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "added",
		Usage: "time added by an entry of one core, its capacity in calls a second, CPU for each call, memory at 1,000 connections",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.IntFlag{Name: "cores", Value: 1},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

// experiment holds the fleet and the seed of the load.
type experiment struct {
	*fleet.Fleet

	seed uint64
}

func run(ctx context.Context, c *cli.Command) error {
	overloaded, err := start(c)
	if err != nil {
		return err
	}
	capacity := overloaded.findCapacity(ctx)
	overloaded.Stop()
	// An overloaded fleet keeps the memory that it needed under overload, so the comparison uses a new fleet.
	fresh, err := start(c)
	if err != nil {
		return err
	}
	defer fresh.Stop()
	return fresh.compare(ctx, c, capacity)
}

func start(c *cli.Command) (*experiment, error) {
	f, err := fleet.Start(plan.Plan{
		Entries:           1,
		Cores:             c.Int("cores"),
		DisableAssertions: true,
		LogLevel:          "warning",
		Groups: []plan.Group{{
			Name: "echo", Count: targetCount, Slots: slotsPerTarget, Queue: slotsPerTarget, Connections: connectionsPerTarget, Work: time.Nanosecond, ReportLag: 20 * time.Millisecond,
		}},
	})
	if err != nil {
		return nil, err
	}
	err = f.Put(f.Groups[0].Service(""),
		`{"schema": 2, "kind": "rule", "name": "echo", "service": "echo", "match": {"path-prefix": "/"}, "idempotent": true, "deadline": "5s"}`)
	if err != nil {
		return nil, err
	}
	if _, err := f.InForce(2, 5*time.Second); err != nil {
		return nil, err
	}
	return &experiment{Fleet: f, seed: c.Uint64("seed")}, nil
}

// findCapacity raises the rate until the tail latency or the share of calls served in time shows that the entry is
// saturated, and returns the last rate below that.
func (x *experiment) findCapacity(ctx context.Context) float64 {
	sustained := 0.0
	for rate := float64(initialRate); ; rate *= rateFactor {
		result := x.offer(ctx, rate, 2*time.Second, entryClass)
		if result.Class(entryClass).Quantile(99) > overloadP99Ms*time.Millisecond || result.Class(entryClass).Share() < 0.99 {
			return sustained
		}
		sustained = rate
	}
}

// offer alternates between the classes every second, so that the machine runs only one path at a time.
func (x *experiment) offer(ctx context.Context, rate float64, duration time.Duration, classes ...string) *tally.Result {
	bases := map[string]string{entryClass: x.Entries[0].CallerURL}
	generator := &loadgen.Generator{
		Rate:     func(time.Duration) float64 { return rate },
		Duration: duration,
		Seed:     x.seed,
		Next: func(random *rand.Rand, elapsed time.Duration) loadgen.Request {
			class := classes[int(elapsed/turnDuration)%len(classes)]
			base, ok := bases[class]
			if !ok {
				base = "http://" + x.Groups[0].Address(random.IntN(targetCount)).String()
			}
			return loadgen.Request{Class: class, Method: http.MethodGet, URL: base + "/x", Deadline: 5 * time.Second}
		},
	}
	return generator.Run(ctx)
}

func (x *experiment) compare(ctx context.Context, c *cli.Command, capacity float64) error {
	out := c.Root().Writer
	rate := shareOfCapacity * capacity
	x.offer(ctx, rate, 2*time.Second, directClass, entryClass)
	process := x.Entries[0].Process()
	before := process.CPU()
	result := x.offer(ctx, rate, c.Duration("duration"), directClass, entryClass)
	used := process.CPU() - before
	table := &report.Table{
		Title:   fmt.Sprintf("One entry of %d core, %.0f calls a second carried, taken at %.0f", c.Int("cores"), capacity, rate),
		Heading: []string{"path", "calls", "p50", "p99", "p99.9"},
	}
	for _, class := range []string{directClass, entryClass} {
		r := result.Class(class)
		table.Row(class, r.Sent, r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	}
	table.Print(out)
	calls := result.Class(entryClass).Sent
	_, _ = fmt.Fprintf(out, "CPU of the entry for each call: %v\n", (used / time.Duration(max(1, calls))).Round(100*time.Nanosecond))
	idleMemory := megabytes(process.Memory())
	_, _ = fmt.Fprintf(out, "memory of the entry: %.1f MB, with %d idle callers' connections more: %.1f MB\n",
		idleMemory, idleConnections, x.memoryWithCallers(ctx))
	verdict := &report.Verdict{Out: out}
	added := result.Class(entryClass).Quantile(99) - result.Class(directClass).Quantile(99)
	verdict.AtMost("ms added at p99", float64(added)/float64(time.Millisecond), maxAddedMs)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / (1 << 20)
}

// memoryWithCallers returns the memory of the entry while idle connections are open that have each made one call.
func (x *experiment) memoryWithCallers(ctx context.Context) float64 {
	var group sync.WaitGroup
	var clients []*http.Client
	for range idleConnections {
		client := &http.Client{Transport: &http.Transport{}}
		clients = append(clients, client)
		group.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, x.Entries[0].CallerURL+"/x", http.NoBody)
			if err != nil {
				return
			}
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	group.Wait()
	memory := megabytes(x.Entries[0].Process().Memory())
	for _, client := range clients {
		client.CloseIdleConnections()
	}
	return memory
}
