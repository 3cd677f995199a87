package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"poplarworks/core/budget"
	"poplarworks/core/fairqueue"
	"poplarworks/core/invariant"
	"poplarworks/core/picking"
	"poplarworks/core/quantile"
	"poplarworks/core/request"
	"poplarworks/core/service"
)

const (
	queueDelayShare    = 0.25
	queueInterval      = 100 * time.Millisecond
	maxQueued          = 8192
	initialRetryTokens = 3.0
	initialHedgeTokens = 1.0
	maxBudgetTokens    = 100.0
	minTailShare       = 0.05 // share of answers that count as slow, unless a rule allows more hedges
	rateTimeConstant   = 500 * time.Millisecond
	defaultLatency     = 5 * time.Millisecond
	minExpectedLatency = time.Millisecond // bounds the rate at which requests in flight are expected to end
)

// Picker chooses among the targets.
type Picker interface {
	Pick(view picking.View) (int, bool)
}

// Balancer holds the state of one service; its exported fields are set before use, and it is not safe for concurrent
// use.
type Balancer struct {
	Self   string // name of this entry
	Home   string // data centre of this entry
	Picker Picker
	Random *rand.Rand
	Check  *invariant.Checker

	service             service.Service
	targets             []*target
	subset              []*target // that this entry asks
	byName              map[string]int
	rules               map[string]*ruleState
	queues              [queues]fairqueue.Queue
	waiting             map[uint64]request.Request
	inFlight            map[uint64]*attempt
	peers               map[string]peerLoad
	completions         rate
	expectedCompletions float64 // requests a second that end if those in flight take their usual time
	targetCounts        targetCounts
	freeTargets         []int    // indices of targets where this entry has a slot of its own free
	active              []string // entries that send to the service, this one included, in order
	scratch             view     // reused, so that a pick allocates nothing
	extraBudget         budget.Share
	saturation          saturation
	skipQueriesUntil    time.Time // until when the targets are not asked, since they tell no load
	localFreeShare      float64   // share of this data centre's targets that had room when they were asked lately
	started             time.Time
	nextID              uint64
	lastRequestAt       time.Time // when the last request came
	longInFlight        int       // own long requests in flight
}

// The queues, in the order in which they are served.
const (
	shortQueue = iota
	longQueue
	lateQueue // requests that can no longer be answered within the objective of their rule
	queues
)

// ruleState is what is learnt about one rule.
type ruleState struct {
	medianLatency    quantile.Tracker
	tailLatency      quantile.Tracker
	baseLatency      quantile.Tracker // time of an answer, less what load and slowness of the target add
	maxCallerTimeout time.Duration    // that any caller has allowed
	retries          budget.Share
	hedges           budget.Share
}

// attempt is one request in flight at one target.
type attempt struct {
	request         request.Request
	target          *target
	sentAt          time.Time
	expectedLatency time.Duration
	adjustedLatency time.Duration // expected time to the answer, by the report of the target if that is fresh
	long            bool
	targetInFlight  int     // requests that the target reported just before
	hasFreshReport  bool    // such a report was there
	nearSaturation  bool    // by that report, the target was nearly full with this request
	slowdown        float64 // by that report
	cost            float64 // expected, as a multiple of the time at an idle target
	loadAtSend      float64 // estimated requests at the target when this one was sent
}

// Configure puts a service record in force; targets that stay keep what was learnt of them.
func (b *Balancer) Configure(now time.Time, s service.Service) {
	if b.started.IsZero() {
		b.started = now
		b.active = []string{b.Self}
		b.rules = map[string]*ruleState{}
		b.waiting = map[uint64]request.Request{}
		b.inFlight = map[uint64]*attempt{}
		b.peers = map[string]peerLoad{}
		b.localFreeShare = 1
		for i := range b.queues {
			b.queues[i] = fairqueue.Queue{Target: queueDelayShare, Interval: queueInterval}
		}
	}
	first := b.byName == nil
	b.service = s
	known := b.targets
	b.targets, b.byName = nil, map[string]int{}
	for _, record := range s.Targets {
		b.byName[record.Name] = len(b.targets)
		b.targets = append(b.targets, b.reuseOrCreate(now, known, record, first))
	}
	for _, t := range known {
		t.removed = !slices.Contains(b.targets, t)
		if t.removed && t.load.Own() > 0 {
			b.targets = append(b.targets, t)
		}
	}
	// A new process has none in reserve: the budget is the fleet's, whose processes may be started again and again.
	b.extraBudget.Ratio, b.extraBudget.Cap = s.ExtraRatio, s.ExtraBurst
	b.chooseSubset()
	b.assignSlots()
	b.countTargets()
}

// adopt returns the target as it was known, or a new one.
func (b *Balancer) reuseOrCreate(now time.Time, known []*target, record service.Target, first bool) *target {
	for _, t := range known {
		if !t.removed && t.isSameIncarnation(record) {
			t.record = record
			t.configure(b.service, len(b.active))
			if record.Leaving {
				b.leave(now, t)
			}
			return t
		}
	}
	t := newTarget(now, record, b.service, len(b.active))
	t.saturation = &b.saturation
	if first {
		// At the start of an entry every target is new to it, and none of them is cold.
		t.markWarm()
	}
	if record.Leaving {
		b.leave(now, t)
	}
	return t
}

func (b *Balancer) rule(name string, retryRatio, hedgeRatio float64) *ruleState {
	state, ok := b.rules[name]
	if !ok {
		state = &ruleState{
			medianLatency: quantile.Tracker{Quantile: 0.5},
			baseLatency:   quantile.Tracker{Quantile: 0.5},
			tailLatency:   quantile.Tracker{Quantile: 1 - max(hedgeRatio, minTailShare)},
			retries:       budget.Share{Cap: maxBudgetTokens, Initial: initialRetryTokens},
			hedges:        budget.Share{Cap: maxBudgetTokens, Initial: initialHedgeTokens},
		}
		b.rules[name] = state
	}
	state.retries.Ratio = retryRatio
	state.hedges.Ratio = hedgeRatio
	return state
}

func (s *ruleState) expectedLatency() time.Duration {
	if s.medianLatency.Count() == 0 {
		return defaultLatency
	}
	return s.medianLatency.Value()
}

// perSecond returns how many such attempts a slot ends in a second.
func (a *attempt) completionRate() float64 {
	return 1 / max(a.expectedLatency, minExpectedLatency).Seconds()
}
