package balancer

import (
	"slices"
	"time"

	"poplarworks/core/request"
)

// view implements picking.View: it shows the picker the targets as they are for one request.
type view struct {
	balancer  *Balancer
	now       time.Time
	request   request.Request
	state     *ruleState // state of the request's rule; nil if the objective does not matter
	long      bool
	panicMode bool
}

// Len returns the number of targets.
func (v *view) Len() int { return len(v.balancer.targets) }

// Open reports whether the target accepts requests and has not yet been tried by this one.
func (v *view) Open(i int) bool {
	t := v.balancer.targets[i]
	return t.open(v.now, v.panicMode) && !slices.Contains(v.request.Tried, t.record.Name)
}

// Eligible reports whether the target is open, has capacity, and can meet the objective of the request.
func (v *view) Eligible(i int) bool {
	t := v.balancer.targets[i]
	return v.Open(i) && t.hasCapacity(v.now, v.long) && t.withinRateLimit(v.now) && v.meetsObjective(t)
}

// FreeCount returns the number of targets where this entry has a free slot in its own share.
func (v *view) FreeCount() int { return len(v.balancer.freeTargets) }

// FreeAt returns the index of the k-th target with a free slot in this entry's share.
func (v *view) FreeAt(k int) int { return v.balancer.freeTargets[k] }

// OwnInFlight returns the number of this entry's requests in flight at the target.
func (v *view) OwnInFlight(i int) int { return v.balancer.targets[i].load.OwnInFlight() }

// Cost returns the expected latency, plus the network cost, as a multiple of the latency of an idle target.
func (v *view) Cost(i int) float64 {
	t := v.balancer.targets[i]
	return t.cost(v.now) + v.balancer.networkCost(t, v.request.Rule.LargeAnswers)
}

// ReportAge returns the age of the target's newest load report.
func (v *view) ReportAge(i int) time.Duration { return v.balancer.targets[i].load.Age(v.now) }

// Name returns the name of the target.
func (v *view) Name(i int) string { return v.balancer.targets[i].record.Name }

// Now returns the time of the decision.
func (v *view) Now() time.Time { return v.now }
