package balancer

import (
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/fairqueue"
	"poplarworks/core/request"
)

const (
	noReportTimeout = 250 * time.Millisecond // without a report of any target, choices are made without them
	maxWaitShare    = 0.35                   // of its time, after which a request that still waits is refused while its caller can try again
)

// room reports whether the target has a free slot that is worth filling, by its last report and what was sent since. A slot
// is left empty while its target is slow for a moment, since work that starts then stays slow and holds the slot for much
// longer than that moment. Without a useful report there is no room, unless no target of the service reports anything.
func (t *target) hasFreeSlot(now time.Time) bool {
	if t.report.Slots == 0 || now.Sub(t.reportAt) >= maxReportAge {
		return now.Sub(t.saturation.reportedAt) > noReportTimeout && float64(t.load.Own()) < t.slots
	}
	if t.slowdownFloor.Passing(t.slowdown()) {
		return false
	}
	return float64(t.report.InFlight()+t.sentSinceReport) < t.saturation.usableSlots(now, t.slots)
}

// aim returns until when an answer to the request has its full worth. Callers count from their first attempt, of which the
// longest time that any of them has allowed tells.
func (s *ruleState) objectiveDeadline(r request.Request) time.Time {
	return r.Arrived.Add(r.Rule.Objective - max(0, s.maxCallerTimeout-r.Left))
}

// startBy returns until when the request must be sent for full worth, or zero if that is not to be had.
func (b *Balancer) latestStart(now time.Time, r request.Request, state *ruleState) time.Time {
	if b.service.Asked == 0 || r.Rule.Objective == 0 || state.missesObjective(now, r) {
		return time.Time{}
	}
	return state.objectiveDeadline(r).Add(-state.baseLatencyOrDefault())
}

// late reports whether the request can no longer have an answer of full worth.
func (s *ruleState) missesObjective(now time.Time, r request.Request) bool {
	return r.Rule.Objective > 0 && now.Add(s.baseLatencyOrDefault()).After(s.objectiveDeadline(r))
}

// idleTime is the time that an answer usually takes at an idle target.
func (s *ruleState) baseLatencyOrDefault() time.Duration {
	if s.baseLatency.Count() == 0 {
		return defaultLatency
	}
	return s.baseLatency.Value()
}

// timely reports whether the target will probably answer in time for full worth. A request that cannot have that any more
// may go to slow targets too.
func (v *view) meetsObjective(t *target) bool {
	if !t.queried || t.report.Slots == 0 || v.state == nil || v.request.Rule.Objective == 0 || v.state.missesObjective(v.now, v.request) {
		return true
	}
	expected := time.Duration(t.relativeLatency(v.now) * float64(v.state.baseLatencyOrDefault()))
	return !v.now.Add(expected).After(v.state.objectiveDeadline(v.request))
}

// queueFor returns the queue for a request: those that will be late wait behind those that can still be in time.
func (b *Balancer) queueFor(now time.Time, r request.Request, long bool, state *ruleState) *fairqueue.Queue {
	switch {
	case b.service.Asked > 0 && state.missesObjective(now, r):
		return &b.queues[lateQueue]
	case long:
		return &b.queues[longQueue]
	default:
		return &b.queues[shortQueue]
	}
}

// demote moves requests that can no longer be in time behind the others, and refuses those that have waited so long that
// their callers do better to try again.
func (b *Balancer) demoteLate(now time.Time, decisions []decision.Decision) []decision.Decision {
	if b.service.Asked == 0 || len(b.waiting) == 0 {
		return decisions
	}
	for _, item := range b.queues[shortQueue].Extract(func(i fairqueue.Item) bool {
		r := b.waiting[i.ID]
		return b.rules[r.Rule.Name].missesObjective(now, r)
	}) {
		b.queues[lateQueue].Push(item)
	}
	for _, item := range b.queues[lateQueue].Extract(func(i fairqueue.Item) bool {
		return float64(now.Sub(i.Arrived)) > maxWaitShare*float64(i.Deadline.Sub(i.Arrived))
	}) {
		r := b.waiting[item.ID]
		delete(b.waiting, item.ID)
		decisions = append(decisions, b.refuse(now, r, code.Overloaded))
	}
	return decisions
}
