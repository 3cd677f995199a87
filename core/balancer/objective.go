package balancer

import (
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/fairqueue"
	"poplarworks/core/request"
)

const (
	noReportTimeout = 250 * time.Millisecond // after that, targets are chosen by this entry's own counts
	maxWaitShare    = 0.35                   // share of its time that a late request may wait; its caller can then retry
)

// hasFreeSlot reports whether the target has a free slot that should be filled, from its last report and the requests
// sent since. A slot stays empty during a short slowdown of its target, since a request that starts then stays slow
// and occupies the slot for much longer than the slowdown lasts. A target without a recent report has no free slot,
// unless no target of the service has reported for noReportTimeout.
func (t *target) hasFreeSlot(now time.Time) bool {
	if t.report.Slots == 0 || now.Sub(t.reportAt) >= maxReportAge {
		return now.Sub(t.saturation.reportedAt) > noReportTimeout && float64(t.load.OwnInFlight()) < t.slots
	}
	if t.slowdownFloor.Transient(t.slowdown()) {
		return false
	}
	return float64(t.report.InFlight()+t.sentSinceReport) < t.saturation.usableSlots(now, t.slots)
}

// objectiveDeadline returns the time by which the request must be answered to meet its objective. Callers measure from
// their first attempt. The time that has passed since then is estimated as the longest time that any caller has
// allowed, less the time that this request has left.
func (s *ruleState) objectiveDeadline(r request.Request) time.Time {
	return r.Arrived.Add(r.Rule.LatencyObjective - max(0, s.maxCallerTimeout-r.TimeLeft))
}

// latestStart returns the time by which the request must be sent to meet its objective. It returns zero if the request
// has no objective, can no longer meet it, or the service's targets are not probed.
func (b *Balancer) latestStart(now time.Time, r request.Request, state *ruleState) time.Time {
	if b.service.LoadProbes == 0 || r.Rule.LatencyObjective == 0 || state.missesObjective(now, r) {
		return time.Time{}
	}
	return state.objectiveDeadline(r).Add(-state.baseLatencyOrDefault())
}

// missesObjective reports whether the request can no longer be answered in time for its objective.
func (s *ruleState) missesObjective(now time.Time, r request.Request) bool {
	return r.Rule.LatencyObjective > 0 && now.Add(s.baseLatencyOrDefault()).After(s.objectiveDeadline(r))
}

// baseLatencyOrDefault returns the median latency at an idle target, or a default while there are no samples.
func (s *ruleState) baseLatencyOrDefault() time.Duration {
	if s.baseLatency.Count() == 0 {
		return defaultLatency
	}
	return s.baseLatency.Value()
}

// meetsObjective reports whether the target will probably answer in time for the objective. A request that can no
// longer meet its objective may also go to slow targets.
func (v *view) meetsObjective(t *target) bool {
	if !t.probed || t.report.Slots == 0 || v.state == nil || v.request.Rule.LatencyObjective == 0 || v.state.missesObjective(v.now, v.request) {
		return true
	}
	expected := time.Duration(t.relativeLatency(v.now) * float64(v.state.baseLatencyOrDefault()))
	return !v.now.Add(expected).After(v.state.objectiveDeadline(v.request))
}

// queueFor returns the queue for a request. Requests that will miss their objective are served after those that can
// still meet it.
func (b *Balancer) queueFor(now time.Time, r request.Request, long bool, state *ruleState) *fairqueue.Queue {
	switch {
	case b.service.LoadProbes > 0 && state.missesObjective(now, r):
		return &b.queues[lateQueue]
	case long:
		return &b.queues[longQueue]
	default:
		return &b.queues[shortQueue]
	}
}

// demoteLate moves requests that can no longer meet their objective to the late queue, and refuses late requests that
// have been queued so long that their callers should rather retry.
func (b *Balancer) demoteLate(now time.Time, decisions []decision.Decision) []decision.Decision {
	if b.service.LoadProbes == 0 || len(b.waiting) == 0 {
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
