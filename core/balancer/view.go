package balancer

import (
	"slices"
	"time"

	"poplarworks/core/request"
)

// view shows the targets to the picker for one request.
type view struct {
	balancer  *Balancer
	now       time.Time
	request   request.Request
	state     *ruleState // of the request's rule; nil if any open target will do
	long      bool
	panicMode bool
}

// Len returns the number of targets.
func (v *view) Len() int { return len(v.balancer.targets) }

// Open reports whether the target takes new work from this request.
func (v *view) Open(i int) bool {
	t := v.balancer.targets[i]
	return t.open(v.now, v.panicMode) && !slices.Contains(v.request.Tried, t.record.Name)
}

// Eligible reports whether the target is also below every limit.
func (v *view) Eligible(i int) bool {
	t := v.balancer.targets[i]
	return v.Open(i) && t.hasCapacity(v.now, v.long) && v.meetsObjective(t)
}

// Free returns the number of targets where this entry has a slot of its own free.
func (v *view) Free() int { return len(v.balancer.freeTargets) }

// FreeAt returns the index of one of these.
func (v *view) FreeAt(k int) int { return v.balancer.freeTargets[k] }

// Own returns this entry's requests in flight.
func (v *view) Own(i int) int { return v.balancer.targets[i].load.Own() }

// Cost returns the expected time to an answer.
func (v *view) Cost(i int) float64 {
	t := v.balancer.targets[i]
	return t.cost(v.now) + v.balancer.networkCost(t, v.request.Rule.Large)
}

// ReportAge returns how old the newest load report is.
func (v *view) ReportAge(i int) time.Duration { return v.balancer.targets[i].load.Age(v.now) }

// Name returns the name of the target.
func (v *view) Name(i int) string { return v.balancer.targets[i].record.Name }

// Now returns the time of the decision.
func (v *view) Now() time.Time { return v.now }
