package balancer

import (
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/fairqueue"
	"poplarworks/core/request"
	"poplarworks/core/rule"
)

const (
	longFactor      = 8  // a rule is long if its latency is more than this many times that of some other rule
	minClassSamples = 50 // answers that are needed before a rule is classified by its latency
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 5 * time.Second
)

// Submit decides whether to send a new request at once, to queue it for a later decision from Poll, or to refuse it.
func (b *Balancer) Submit(now time.Time, r request.Request) decision.Decision {
	b.nextID++
	b.lastRequestAt = now
	r.ID = b.nextID
	state := b.rule(r.Rule.Name, r.Rule.RetryRatio, r.Rule.HedgeRatio)
	state.retries.CountFirst()
	state.hedges.CountFirst()
	b.extraBudget.CountFirst()
	return b.decide(now, r, state)
}

// decide sends the request if a target has capacity and nothing is queued ahead of it. Otherwise it queues the request,
// or refuses it if no target is open, the queue is full, or the deadline would pass in the queue.
func (b *Balancer) decide(now time.Time, r request.Request, state *ruleState) decision.Decision {
	need := state.expectedLatency()
	if now.Add(need).After(r.Deadline) {
		return b.refuse(now, r, code.DeadlineTooShort)
	}
	long := b.isLong(r.Rule, state)
	state.maxCallerTimeout = max(state.maxCallerTimeout, r.TimeLeft)
	queue := b.queueFor(now, r, long, state)
	if queue.Ahead(int(r.Rule.Priority)) == 0 && (queue != &b.queues[lateQueue] || b.queues[shortQueue].Len() == 0) {
		if d, ok := b.send(now, r, long, state); ok {
			return d
		}
	}
	if !b.anyOpen(now, r) {
		return b.refuse(now, r, code.NoTarget)
	}
	if wait, limited := b.rateLimitWait(now, r); limited && wait+need > time.Duration(maxWaitShare*float64(r.Deadline.Sub(now))) {
		d := b.refuse(now, r, code.Overloaded)
		d.RetryAfter = min(maxRetryAfter, max(d.RetryAfter, wait))
		return d
	}
	if b.estimateWait(now, queue, r.Rule.Priority)+need > r.Deadline.Sub(now) || queue.Len() >= maxQueued {
		return b.refuse(now, r, code.Overloaded)
	}
	queue.Push(fairqueue.Item{
		ID:               r.ID,
		Flow:             r.Flow(),
		Priority:         int(r.Rule.Priority),
		Arrived:          now,
		Deadline:         r.Deadline,
		ExpectedDuration: need,
		StartBy:          b.latestStart(now, r, state),
	})
	b.waiting[r.ID] = r
	return decision.Decision{ID: r.ID, Kind: decision.Wait}
}

// isLong reports whether the rule is declared long, or its measured latency shows that it is.
func (b *Balancer) isLong(r *rule.Rule, state *ruleState) bool {
	if r.Class == rule.Long {
		return true
	}
	if state.medianLatency.Count() < minClassSamples {
		return false
	}
	for _, other := range b.rules {
		if other.medianLatency.Count() >= minClassSamples && state.medianLatency.Value() > longFactor*other.medianLatency.Value() {
			return true
		}
	}
	return false
}

// estimateWait estimates how long a new request would be queued, from the rate at which requests complete.
func (b *Balancer) estimateWait(now time.Time, queue *fairqueue.Queue, priority rule.Priority) time.Duration {
	ahead := queue.Ahead(int(priority))
	perSecond := b.throughput(now)
	if ahead == 0 || perSecond < 1 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// throughput estimates the completions per second. After a start, and at the beginning of a peak, few requests have
// completed yet, and the rate expected of those in flight is the better estimate.
func (b *Balancer) throughput(now time.Time) float64 {
	return max(b.completions.get(now), b.expectedCompletions)
}

func (b *Balancer) refuse(now time.Time, r request.Request, c code.Code) decision.Decision {
	return decision.Decision{ID: r.ID, Kind: decision.Refuse, Code: c, RetryAfter: b.retryAfter(now)}
}

// retryAfter returns a delay that grows with the queue and has random jitter, so that refused callers do not all retry
// at the same time.
func (b *Balancer) retryAfter(now time.Time) time.Duration {
	wait := minRetryAfter
	if perSecond := b.throughput(now); perSecond >= 1 {
		queued := len(b.waiting)
		wait += time.Duration(float64(queued) / perSecond * float64(time.Second))
	}
	spread := 0.5 + b.Random.Float64()
	return min(maxRetryAfter, time.Duration(float64(wait)*spread))
}

// anyOpen reports whether any target accepts the request, regardless of its limits.
func (b *Balancer) anyOpen(now time.Time, r request.Request) bool {
	v := b.view(now, r, false)
	for i := range b.targets {
		if v.Open(i) {
			return true
		}
	}
	return false
}

// view returns the shared view, which is valid until the next call.
func (b *Balancer) view(now time.Time, r request.Request, long bool) *view {
	b.scratch = view{balancer: b, now: now, request: r, long: long, panicMode: b.targetCounts.inPanicMode()}
	return &b.scratch
}

// send picks a target and counts the request as in flight there. It reports false if no target has capacity.
func (b *Balancer) send(now time.Time, r request.Request, long bool, state *ruleState) (decision.Decision, bool) {
	if len(b.targets) == 0 {
		return decision.Decision{}, false
	}
	v := b.view(now, r, long)
	v.state = state
	i, ok := b.Picker.Pick(v)
	if !ok {
		return decision.Decision{}, false
	}
	t := b.targets[i]
	b.Check.Assert(!t.stopped && !t.removed, "picked target %s, which is stopped or removed", t.record.Name)
	a := &attempt{request: r, target: t, sentAt: now, expectedLatency: state.expectedLatency(), long: long, loadAtSend: t.load.At(now), cost: v.Cost(i)}
	a.hasFreshReport = t.report.Slots > 0 && now.Sub(t.reportAt) < maxConfirmationAge
	a.targetInFlight, a.slowdown = t.report.InFlight()+t.sentSinceReport, t.slowdown()
	a.adjustedLatency = a.expectedLatency
	if a.hasFreshReport {
		a.adjustedLatency = time.Duration(t.relativeLatency(now) * float64(state.baseLatencyOrDefault()))
	}
	if a.nearSaturation = t.probed && nearsSaturation(a.targetInFlight, t.slots); a.nearSaturation {
		b.saturation.beginExploring(now)
	}
	age := t.load.Age(now)
	b.inFlight[r.ID] = a
	b.expectedCompletions += a.completionRate()
	t.load.Sent()
	if t.rateLimited {
		t.rateShare.Take(now)
	}
	b.removeFromFreeList(t)
	t.sent++
	t.sentSinceReport++
	t.lastSent = now
	if long {
		t.longInFlight++
		b.longInFlight++
	} else {
		t.slownessScore.Begin(r.ID, now, a.expectedLatency)
	}
	return decision.Decision{ID: r.ID, Kind: decision.Send, Name: t.record.Name, Address: t.record.Address, Instance: t.record.Instance, Cost: a.cost, ReportAge: age}, true
}

// Poll sends or refuses queued requests. It must be called after Finish, and every millisecond while requests are
// queued.
func (b *Balancer) Poll(now time.Time) []decision.Decision {
	decisions := b.demoteLate(now, nil)
	for i := range b.queues {
		decisions = b.refuseExpired(now, &b.queues[i], decisions)
		decisions = b.sendQueued(now, &b.queues[i], i == longQueue, decisions)
	}
	return decisions
}

// refuseExpired refuses the queued requests that can no longer be answered before their deadline.
func (b *Balancer) refuseExpired(now time.Time, queue *fairqueue.Queue, decisions []decision.Decision) []decision.Decision {
	if queue.Len() == 0 {
		return decisions
	}
	for _, item := range queue.Expire(now) {
		r := b.waiting[item.ID]
		delete(b.waiting, item.ID)
		decisions = append(decisions, b.refuse(now, r, code.DeadlinePassed))
	}
	return decisions
}

// sendQueued sends requests in queue order until no target has capacity.
func (b *Balancer) sendQueued(now time.Time, queue *fairqueue.Queue, long bool, decisions []decision.Decision) []decision.Decision {
	for queue.Len() > 0 {
		item, _ := queue.Peek()
		r := b.waiting[item.ID]
		d, ok := b.send(now, r, long, b.rules[r.Rule.Name])
		if !ok {
			break
		}
		queue.Take()
		delete(b.waiting, item.ID)
		decisions = append(decisions, d)
	}
	return decisions
}

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int {
	return len(b.waiting)
}

// Withdraw removes a queued request whose caller has gone, and reports whether the request was queued.
func (b *Balancer) Withdraw(id uint64) bool {
	if _, ok := b.waiting[id]; !ok {
		return false
	}
	delete(b.waiting, id)
	return b.queues[shortQueue].Remove(id) || b.queues[longQueue].Remove(id) || b.queues[lateQueue].Remove(id)
}
