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
	direct  = "straight"
	through = "through an entry"

	addedBound   = 0.99 // ms, for 99 in 100
	overloadTail = 50   // ms: above this the entry does not carry the rate
	firstRate    = 2000 // calls a second
	rateStep     = 1.25 // factor between two tries
	share        = 0.6  // of what the entry carries, at which the added time is taken
	idleCallers  = 1000 // connections for the memory figure
	turn         = time.Second
	targets      = 16
	connections  = 220
	slots        = 64
)

// Command returns the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "added",
		Usage: "time added by an entry of one core, calls a second and CPU for each, memory at 1,000 connections",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.IntFlag{Name: "cores", Value: 1},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: run,
	}
}

// bench is the fleet of the experiment.
type bench struct {
	*fleet.Fleet

	seed uint64
}

func run(ctx context.Context, c *cli.Command) error {
	first, err := start(c)
	if err != nil {
		return err
	}
	capacity := first.findCapacity(ctx)
	first.Stop()
	// A fleet that has been overloaded still holds what it needed for that.
	second, err := start(c)
	if err != nil {
		return err
	}
	defer second.Stop()
	return second.compare(ctx, c, capacity)
}

func start(c *cli.Command) (*bench, error) {
	f, err := fleet.Start(plan.Plan{
		Entries:   1,
		Cores:     c.Int("cores"),
		NoAsserts: true,
		LogLevel:  "warning",
		Groups: []plan.Group{{
			Name: "echo", Count: targets, Slots: slots, Queue: slots, Connections: connections, Work: time.Nanosecond, ReportLag: 20 * time.Millisecond,
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
	return &bench{Fleet: f, seed: c.Uint64("seed")}, nil
}

// findCapacity raises the rate until the entry's tail shows that it no longer keeps up.
func (b *bench) findCapacity(ctx context.Context) float64 {
	carried := 0.0
	for rate := float64(firstRate); ; rate *= rateStep {
		result := b.offer(ctx, rate, 2*time.Second, through)
		if result.Class(through).Quantile(99) > overloadTail*time.Millisecond || result.Class(through).Share() < 0.99 {
			return carried
		}
		carried = rate
	}
}

// offer sends the classes by turns of one second, so that the machine carries one path at a time.
func (b *bench) offer(ctx context.Context, rate float64, span time.Duration, classes ...string) *tally.Result {
	bases := map[string]string{through: b.Entries[0].CallerURL}
	generator := &loadgen.Generator{
		Rate:     func(time.Duration) float64 { return rate },
		Duration: span,
		Seed:     b.seed,
		Next: func(random *rand.Rand, elapsed time.Duration) loadgen.Shot {
			class := classes[int(elapsed/turn)%len(classes)]
			base, ok := bases[class]
			if !ok {
				base = "http://" + b.Groups[0].Address(random.IntN(targets)).String()
			}
			return loadgen.Shot{Class: class, Method: http.MethodGet, URL: base + "/x", Deadline: 5 * time.Second}
		},
	}
	return generator.Run(ctx)
}

func (b *bench) compare(ctx context.Context, c *cli.Command, capacity float64) error {
	out := c.Root().Writer
	rate := share * capacity
	b.offer(ctx, rate, 2*time.Second, direct, through)
	process := b.Entries[0].Process()
	before := process.CPU()
	result := b.offer(ctx, rate, c.Duration("duration"), direct, through)
	used := process.CPU() - before
	table := &report.Table{
		Title:   fmt.Sprintf("One entry of %d core, %.0f calls a second carried, taken at %.0f", c.Int("cores"), capacity, rate),
		Heading: []string{"path", "calls", "p50", "p99", "p99.9"},
	}
	for _, class := range []string{direct, through} {
		r := result.Class(class)
		table.Row(class, r.Sent, r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	}
	table.Print(out)
	calls := result.Class(through).Sent
	_, _ = fmt.Fprintf(out, "CPU of the entry for each call: %v\n", (used / time.Duration(max(1, calls))).Round(100*time.Nanosecond))
	alone := megabytes(process.Memory())
	_, _ = fmt.Fprintf(out, "memory of the entry: %.1f MB, with %d idle callers' connections more: %.1f MB\n",
		alone, idleCallers, b.memoryWithCallers(ctx))
	verdict := &report.Verdict{Out: out}
	added := result.Class(through).Quantile(99) - result.Class(direct).Quantile(99)
	verdict.AtMost("ms added at p99", float64(added)/float64(time.Millisecond), addedBound)
	if verdict.Missed() > 0 {
		return cli.Exit(strconv.Itoa(verdict.Missed())+" bounds were missed", 1)
	}
	return nil
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / (1 << 20)
}

// memoryWithCallers holds idle connections that each have made one call.
func (b *bench) memoryWithCallers(ctx context.Context) float64 {
	var group sync.WaitGroup
	var clients []*http.Client
	for range idleCallers {
		client := &http.Client{Transport: &http.Transport{}}
		clients = append(clients, client)
		group.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.Entries[0].CallerURL+"/x", http.NoBody)
			if err != nil {
				return
			}
			if answer, err := client.Do(request); err == nil {
				_ = answer.Body.Close()
			}
		})
	}
	group.Wait()
	held := megabytes(b.Entries[0].Process().Memory())
	for _, client := range clients {
		client.CloseIdleConnections()
	}
	return held
}
