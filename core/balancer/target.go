package balancer

import (
	"math"
	"time"

	"poplarworks/core/interference"
	"poplarworks/core/limiter"
	"poplarworks/core/load"
	"poplarworks/core/probebudget"
	"poplarworks/core/rateshare"
	"poplarworks/core/report"
	"poplarworks/core/service"
	"poplarworks/core/slowness"
	"poplarworks/core/targetstate"
)

const (
	maxLoadAge           = 60 * time.Millisecond // a load report has lost most of its weight at this age
	slownessTimeConstant = 400 * time.Millisecond
	slownessWeight       = 0.15
	maxNormalSlowness    = 1.6 // slowness up to here is within the normal spread of request latencies
	maxLongShare         = 0.5 // share of a target's slots that long requests may hold
	initialBackoff       = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
	initialEjection      = time.Second
	maxEjection          = 30 * time.Second
	minRampFraction      = 0.1
	minTrialSuccesses    = 3
)

// target is the state that this entry keeps for one target.
type target struct {
	record         service.Target
	slots          float64
	maxConnections int  // connections that this entry may open to the target
	probed         bool // the service's targets are probed for their load before each choice
	ramp           time.Duration
	removed        bool // no longer in the service record
	stopped        bool // a planned stop is in force

	index             int           // position in Balancer.targets
	freeIndex         int           // position in Balancer.freeTargets, or -1
	ownSlots          int           // slots in this entry's own share
	report            report.Report // newest load report that states the number of slots
	reportAt          time.Time
	healthyAt         time.Time   // when the target last said that it is healthy without reporting its load
	sentSinceReport   int         // requests of this entry sent since the report
	saturation        *saturation // shared by all targets of the service
	slowdownFloor     interference.Floor
	stateMachine      targetstate.Machine
	load              load.Estimate
	slownessScore     slowness.Score
	limit             limiter.Limit
	probeBudget       probebudget.Budget
	peersLongInFlight int
	longInFlight      int  // long requests of this entry in flight
	rateLimited       bool // the target has named a limit of its request rate
	sharesRateLimit   bool // this entry is among those that the rate limit is divided among
	rateLimitAt       time.Time
	rateShare         rateshare.Share

	coldSince      time.Time // start of the cold state
	backoff        time.Duration
	backoffUntil   time.Time
	ejectionPeriod time.Duration
	ejectedUntil   time.Time
	trialSuccesses int
	leavingSince   time.Time
	checkedAt      time.Time
	wasUnreachable bool // refused a connection since it began to leave
	lastSent       time.Time
	sent           uint64
}

func newTarget(now time.Time, record service.Target, s service.Service, active int) *target {
	t := &target{
		record:        record,
		load:          load.Estimate{Staleness: maxLoadAge},
		slownessScore: slowness.Score{DecayTime: slownessTimeConstant, Weight: slownessWeight},
		probeBudget:   probebudget.Budget{Started: now},
		coldSince:     now,
	}
	t.configure(s, active)
	return t
}

// configure applies the service record and the number of entries that send to the target. Each entry may have its even
// share of the slots in flight, and one request more, so that a slot that becomes free has work at once. Further
// requests wait at the entry, which can still send them to whichever target becomes free first.
func (t *target) configure(s service.Service, active int) {
	t.slots = float64(s.Slots)
	t.maxConnections = s.ConnectionsPerEntry()
	t.ramp = s.SlowStart
	t.probed = s.LoadProbes > 0
	t.probeBudget.PerWindow = s.ProbesPerEntry()
	t.limit.Min = 1
	evenShare := math.Ceil(t.slots / float64(max(1, active)))
	t.limit.Max = math.Min(evenShare+1, float64(t.maxConnections))
	t.limit.Initial = t.limit.Max
}

func (t *target) markWarm() {
	t.stateMachine.Fire(targetstate.Warm)
}

// open reports whether the target accepts new requests at all. In panic mode, when most targets are ejected, ejection
// is ignored, so that a fault common to all targets cannot remove every one of them.
func (t *target) open(now time.Time, panicMode bool) bool {
	if t.removed || t.stopped || now.Before(t.backoffUntil) || t.record.Unconfirmed && !t.recentlyConfirmed(now) {
		return false
	}
	switch t.stateMachine.State() {
	case targetstate.Leaving:
		return false
	case targetstate.Ejected:
		return panicMode
	case targetstate.Trial:
		return panicMode || t.load.OwnInFlight() == 0
	case targetstate.SlowStart, targetstate.Active:
		return true
	}
	return true
}

// recentlyConfirmed reports whether the target has just reported its load or that it is healthy.
func (t *target) recentlyConfirmed(now time.Time) bool {
	return now.Sub(t.reportAt) <= maxConfirmationAge || now.Sub(t.healthyAt) <= maxConfirmationAge
}

// rampFraction returns the share of its normal load that a target may get during slow start.
func (t *target) rampFraction(now time.Time) float64 {
	if t.stateMachine.State() != targetstate.SlowStart || t.ramp <= 0 {
		return 1
	}
	fraction := float64(now.Sub(t.coldSince)) / float64(t.ramp)
	return math.Min(1, math.Max(minRampFraction, fraction))
}

// hasCapacity reports whether the target can take one more request within its limits.
func (t *target) hasCapacity(now time.Time, long bool) bool {
	own := t.load.OwnInFlight()
	if t.probed {
		return own < t.maxConnections && t.hasFreeSlot(now)
	}
	limit := math.Max(1, t.limit.Current()*t.rampFraction(now))
	if float64(own)+1 > limit || own >= t.maxConnections {
		return false
	}
	return !long || t.hasLongCapacity()
}

// hasLongCapacity keeps part of the slots free of long requests, including those that peers have reported.
func (t *target) hasLongCapacity() bool {
	return t.longInFlight+t.peersLongInFlight < max(1, int(t.slots*maxLongShare))
}

// cost returns the expected latency as a multiple of that of an idle, healthy target. Slowness counts only beyond the
// normal spread of request latencies.
func (t *target) cost(now time.Time) float64 {
	if t.probed && t.report.Slots > 0 && now.Sub(t.reportAt) < maxReportAge {
		return t.reportedCost(now)
	}
	busy := 1 + t.load.At(now)/t.slots
	slow := math.Max(1, t.slownessScore.Ratio(now)/maxNormalSlowness)
	return busy * slow / t.rampFraction(now)
}
