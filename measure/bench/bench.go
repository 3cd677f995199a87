package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
	"poplarworks/measure/scenario"
	"poplarworks/measure/tally"
)

// Names of the pickers that the experiments compare.
const (
	Product    = "power-of-d"
	Oracle     = "oracle"
	RoundRobin = "round-robin"
	LeastOfTwo = "least-of-two"
	Random     = "random"
)

const (
	settleTime     = 2 * time.Second
	inForceTimeout = 5 * time.Second
)

// Bench is a fleet with the status service and its rules; its exported fields are set before Start.
type Bench struct {
	Status  scenario.Status
	Picker  string
	Choices int
	Entries int
	Hedges  float64  // share of lookups that the product may hedge
	Rules   []string // in addition to the rule of the lookups

	*fleet.Fleet
}

// Start starts the fleet, writes the records and waits until they are in force.
func (b *Bench) Start() error {
	f, err := fleet.Start(plan.Plan{
		Entries:           b.Entries,
		Groups:            []plan.Group{b.Status.Group()},
		Picker:            b.Picker,
		Choices:           b.Choices,
		OracleGroup:       b.Status.Group().Name,
		DisableAssertions: true,
		LogLevel:          "warning",
	})
	if err != nil {
		return err
	}
	b.Fleet = f
	records := append([]string{f.Groups[0].Service(b.Status.ServiceFields(b.Entries)), b.Status.Rule(b.Hedges)}, b.Rules...)
	if err := f.Put(records...); err != nil {
		f.Stop()
		return err
	}
	_, err = f.InForce(uint64(len(records)), inForceTimeout)
	return err
}

// Offer sends requests at a rate that depends on the time since the start; results are also counted by time slices
// unless their width is zero.
func (b *Bench) Offer(ctx context.Context, duration, sliceWidth time.Duration, rate func(time.Duration) float64, next func(*rand.Rand) loadgen.Request) *tally.Result {
	generator := &loadgen.Generator{
		Rate:     rate,
		Duration: duration,
		Slice:    sliceWidth,
		Seed:     b.Status.Seed,
		Next:     func(random *rand.Rand, _ time.Duration) loadgen.Request { return next(random) },
	}
	return generator.Run(ctx)
}

// Settle offers lookups at a steady rate for a while, so that connections are open and estimates have converged.
func (b *Bench) Settle(ctx context.Context, rate float64) {
	b.Offer(ctx, settleTime, 0, Steady(rate), b.Lookup)
}

// Steady returns a constant rate.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Lookup returns the next lookup, through a random entry.
func (b *Bench) Lookup(random *rand.Rand) loadgen.Request {
	return b.Status.Lookup(random, b.Fleet.Entries)
}
