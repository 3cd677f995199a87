package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/loadgen"
	"poplarworks/measure/plan"
)

// Sizes of the Registry's deployment.
const (
	StatusTargets = 14
	StatusSlots   = 3
	StatusWork    = 10 * time.Millisecond // mean slot time of a lookup
	logWorkSigma  = 0.5                   // standard deviation of the logarithm of a slot time
)

// Status is the Registry's status reading service; with Noisy set, noisy neighbours slow its targets for some tens of
// milliseconds at a time.
type Status struct {
	Noisy       bool
	Exponential bool // slot times have an exponential instead of a log-normal distribution
	Seed        uint64
}

// Group returns the plan of the targets.
func (s Status) Group() plan.Group {
	g := plan.Group{
		Name:        "status-reading",
		Count:       StatusTargets,
		Slots:       StatusSlots,
		Queue:       200,
		Work:        StatusWork,
		ConnectCost: time.Millisecond,
		ProbeCost:   time.Millisecond,
		ReportLag:   20 * time.Millisecond,
		Seed:        s.Seed,
	}
	if s.Noisy {
		g.NoiseQuiet, g.NoiseNoisy, g.NoiseFactor = 80*time.Millisecond, 20*time.Millisecond, 4
	}
	return g
}

// Capacity returns the lookups per second that the targets can run, less what noisy neighbours take.
func (s Status) Capacity() float64 {
	perSlot := 1 / StatusWork.Seconds()
	if s.Noisy {
		// In a noisy phase, one fifth of the time, work takes four times longer.
		perSlot *= 0.8 + 0.2/4
	}
	return StatusTargets * StatusSlots * perSlot
}

// ServiceFields returns the fields of the service record other than its targets.
func (s Status) ServiceFields(entries int) string {
	return fmt.Sprintf(`"capacity": {"slots": %d, "connections": 220, "max-entries": %d},
		"probe": {"path": "/load", "cost": "1ms", "budget": "60ms"}`, StatusSlots, entries)
}

// Rule returns the rule of the lookups; hedges is the share of lookups that may be hedged with a second attempt.
func (s Status) Rule(hedges float64) string {
	return fmt.Sprintf(`{"schema": 2, "kind": "rule", "name": "status-lookup", "service": "status-reading",
		"match": {"methods": ["GET"], "path-prefix": "/status"}, "idempotent": true, "class": "short",
		"deadline": "2s", "hedge": {"ratio": %g}, "not-run-statuses": [503]}`, hedges)
}

// drawWork draws a random slot time with the mean StatusWork.
func (s Status) drawWork(random *rand.Rand) time.Duration {
	if s.Exponential {
		return time.Duration(random.ExpFloat64() * float64(StatusWork))
	}
	logWork := logWorkSigma*random.NormFloat64() - logWorkSigma*logWorkSigma/2
	return time.Duration(math.Exp(logWork) * float64(StatusWork))
}

// Lookup returns a lookup through a random entry.
func (s Status) Lookup(random *rand.Rand, entries []*fleet.Entry) loadgen.Request {
	e := entries[random.IntN(len(entries))]
	work := s.drawWork(random)
	return loadgen.Request{
		Class:    "lookup",
		Method:   "GET",
		URL:      fmt.Sprintf("%s/status/%d?work=%s", e.CallerURL, random.IntN(100_000), work),
		Deadline: 2 * time.Second,
	}
}
