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

// Names of the pickers that are compared.
const (
	Product    = "power-of-d"
	Oracle     = "oracle"
	RoundRobin = "round-robin"
	LeastOfTwo = "least-of-two"
	Random     = "random"
)

const (
	settleTime   = 2 * time.Second
	inForceLimit = 5 * time.Second
)

// Bench is a fleet with the status service and its rules; its exported fields are set before Start.
type Bench struct {
	Status  scenario.Status
	Picker  string
	Choices int
	Entries int
	Hedges  float64  // share of lookups that the product may hedge
	Rules   []string // besides the rule of the lookups

	*fleet.Fleet
}

// Start runs the fleet and puts the records.
func (b *Bench) Start() error {
	f, err := fleet.Start(plan.Plan{
		Entries:     b.Entries,
		Groups:      []plan.Group{b.Status.Group()},
		Picker:      b.Picker,
		Choices:     b.Choices,
		OracleGroup: b.Status.Group().Name,
		NoAsserts:   true,
		LogLevel:    "warning",
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
	_, err = f.InForce(uint64(len(records)), inForceLimit)
	return err
}

// Offer sends shots at a rate that follows the time.
func (b *Bench) Offer(ctx context.Context, span, slice time.Duration, rate func(time.Duration) float64, next func(*rand.Rand) loadgen.Request) *tally.Result {
	generator := &loadgen.Generator{
		Rate:     rate,
		Duration: span,
		Slice:    slice,
		Seed:     b.Status.Seed,
		Next:     func(random *rand.Rand, _ time.Duration) loadgen.Request { return next(random) },
	}
	return generator.Run(ctx)
}

// Settle offers lookups at a steady rate until connections and estimates have settled.
func (b *Bench) Settle(ctx context.Context, rate float64) {
	b.Offer(ctx, settleTime, 0, Steady(rate), b.Lookup)
}

// Steady returns a rate that does not change.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Lookup returns the next lookup.
func (b *Bench) Lookup(random *rand.Rand) loadgen.Request {
	return b.Status.Lookup(random, b.Fleet.Entries)
}
