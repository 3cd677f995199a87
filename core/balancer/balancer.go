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
	queueDelayShare    = 0.25                   // share of the longest possible wait above which a queue is standing
	queueInterval      = 100 * time.Millisecond // time for which the delay must stay above that share
	maxQueued          = 8192
	initialRetryTokens = 3.0
	initialHedgeTokens = 1.0
	maxBudgetTokens    = 100.0
	minTailShare       = 0.05 // smallest share of answers that counts as the slow tail, also for a rule with fewer hedges
	rateTimeConstant   = 500 * time.Millisecond
	defaultLatency     = 5 * time.Millisecond
	minExpectedLatency = time.Millisecond // limits the completion rate that is expected of one request in flight
)

// Picker chooses a target for one request.
type Picker interface {
	Pick(view picking.View) (int, bool)
}

// Balancer holds the targets, the queues and the requests in flight of one service. Its exported fields must be set
// before use, and it is not safe for concurrent use.
type Balancer struct {
	Self       string // name of this entry
	DataCentre string // data centre of this entry
	Picker     Picker
	Random     *rand.Rand
	Check      *invariant.Checker

	service             service.Service
	targets             []*target
	subset              []*target // targets that this entry probes for their load
	byName              map[string]int
	rules               map[string]*ruleState
	queues              [queues]fairqueue.Queue
	waiting             map[uint64]request.Request
	inFlight            map[uint64]*attempt
	peers               map[string]peerLoad
	completions         rate
	expectedCompletions float64 // completions per second if the requests in flight take their usual time
	targetCounts        targetCounts
	freeTargets         []int    // indices of targets where this entry has a free slot in its own share
	active              []string // sorted names of the entries that send to the service, including this one
	scratch             view     // reused, so that picking a target does not allocate
	rateSharers         rateSharers
	extraBudget         budget.Share
	saturation          saturation
	skipProbesUntil     time.Time // end of the time in which targets are not probed because they report no load
	localFreeShare      float64   // recent share of load reports from this data centre's targets that showed a free slot
	started             time.Time
	nextID              uint64
	lastRequestAt       time.Time
	longInFlight        int // long requests of this entry in flight
}

// Indices of the queues, in the order in which they are served.
const (
	shortQueue = iota
	longQueue
	lateQueue // requests that can no longer be answered within the objective of their rule
	queues
)

// ruleState holds the measured latencies and the retry and hedge budgets of one rule.
type ruleState struct {
	medianLatency    quantile.Tracker
	tailLatency      quantile.Tracker
	baseLatency      quantile.Tracker // latency without the delay that load and slowness of the target add
	maxCallerTimeout time.Duration    // longest time that any caller has allowed for a request
	retries          budget.Share
	hedges           budget.Share
}

// attempt is one request in flight at one target, with what was known of the target when the request was sent.
type attempt struct {
	request         request.Request
	target          *target
	sentAt          time.Time
	expectedLatency time.Duration
	adjustedLatency time.Duration // expected latency, adjusted to the target's load report if that is fresh
	long            bool
	targetInFlight  int     // requests at the target by its last report and those sent since
	hasFreshReport  bool    // the last report was recent enough to use
	nearSaturation  bool    // this request brought the target close to saturation
	slowdown        float64 // reported by the target
	cost            float64 // expected latency, as a multiple of that at an idle target
	loadAtSend      float64 // estimated requests at the target when this one was sent
}

// Configure applies a service record. Targets that are still in the record keep their state. A removed target with
// requests in flight is kept, but gets no new requests.
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
			b.queues[i] = fairqueue.Queue{TargetWaitShare: queueDelayShare, Interval: queueInterval}
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
		if t.removed && t.load.OwnInFlight() > 0 {
			b.targets = append(b.targets, t)
		}
	}
	// The budget starts empty. It limits the whole fleet, and processes that restart again and again would otherwise
	// add a new reserve each time.
	b.extraBudget.Ratio, b.extraBudget.MaxTokens = s.ExtraRatio, s.ExtraBurst
	b.chooseSubset()
	b.assignSlots()
	b.assignRateShares()
	b.countTargets()
}

// reuseOrCreate returns the known target for the record with its state, or a new target.
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
		// Every target is new to an entry that has just started, which does not mean that the targets are cold.
		t.markWarm()
	}
	if record.Leaving {
		b.leave(now, t)
	}
	return t
}

// rule returns the state of a rule, creates it on first use, and applies the rule's current budget ratios.
func (b *Balancer) rule(name string, retryRatio, hedgeRatio float64) *ruleState {
	state, ok := b.rules[name]
	if !ok {
		state = &ruleState{
			medianLatency: quantile.Tracker{Quantile: 0.5},
			baseLatency:   quantile.Tracker{Quantile: 0.5},
			tailLatency:   quantile.Tracker{Quantile: 1 - max(hedgeRatio, minTailShare)},
			retries:       budget.Share{MaxTokens: maxBudgetTokens, InitialTokens: initialRetryTokens},
			hedges:        budget.Share{MaxTokens: maxBudgetTokens, InitialTokens: initialHedgeTokens},
		}
		b.rules[name] = state
	}
	state.retries.Ratio = retryRatio
	state.hedges.Ratio = hedgeRatio
	return state
}

// expectedLatency returns the median latency, or a default while there are no samples.
func (s *ruleState) expectedLatency() time.Duration {
	if s.medianLatency.Count() == 0 {
		return defaultLatency
	}
	return s.medianLatency.Value()
}

// completionRate returns how many attempts of this expected latency one slot completes per second.
func (a *attempt) completionRate() float64 {
	return 1 / max(a.expectedLatency, minExpectedLatency).Seconds()
}
