package balancer

import (
	"math"
	"time"

	"poplarworks/core/interference"
	"poplarworks/core/lifecycle"
	"poplarworks/core/limiter"
	"poplarworks/core/load"
	"poplarworks/core/probebudget"
	"poplarworks/core/report"
	"poplarworks/core/service"
	"poplarworks/core/slowness"
)

const (
	maxLoadAge           = 60 * time.Millisecond
	slownessTimeConstant = 400 * time.Millisecond
	slownessWeight       = 0.15
	maxNormalSlowness    = 1.6 // slowness that the spread of ordinary requests explains
	maxLongShare         = 0.5 // share of a target's slots that long requests may hold
	initialBackoff       = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
	initialEjection      = time.Second
	maxEjection          = 30 * time.Second
	minRampFraction      = 0.1
	minTrialSuccesses    = 3
)

// target is what one entry knows of one target.
type target struct {
	record         service.Target
	slots          float64
	maxConnections int  // connections that this entry may use
	queried        bool // targets of the service are asked for their load before each choice
	ramp           time.Duration
	removed        bool // no longer in the record
	stopped        bool // a planned stop is in force

	index             int           // in the list of targets
	freeIndex         int           // place in the list of targets with a free slot, or -1
	ownSlots          int           // slots that this entry counts as its own
	report            report.Report // newest load report with slots
	reportAt          time.Time
	healthyAt         time.Time   // when it last said that it is well without telling its load
	sentSinceReport   int         // requests sent since the report
	saturation        *saturation // of the service
	slowdownFloor     interference.Floor
	stateMachine         lifecycle.Machine
	load              load.Estimate
	slownessScore          slowness.Score
	limit             limiter.Limit
	probeBudget       probebudget.Budget
	peersLongInFlight int
	longInFlight      int // own long requests in flight

	coldSince      time.Time // start of the cold state
	backoff        time.Duration
	backoffUntil   time.Time
	ejectionPeriod time.Duration
	ejectedUntil   time.Time
	trialSuccesses int
	leavingSince   time.Time
	checkedAt      time.Time
	wasUnreachable bool // has refused a connection since it began to leave
	lastSent       time.Time
	sent           uint64
}

func newTarget(now time.Time, record service.Target, s service.Service, active int) *target {
	t := &target{
		record:      record,
		load:        load.Estimate{Staleness: maxLoadAge},
		slownessScore:    slowness.Score{Memory: slownessTimeConstant, Weight: slownessWeight},
		probeBudget: probebudget.Budget{Started: now},
		coldSince:   now,
	}
	t.configure(s, active)
	return t
}

// configure takes the record and the number of entries that send to the target. Each keeps its even part of the slots
// in flight, and one more, so that a slot that comes free finds work; what goes beyond waits at the entry, where it can
// still go to whichever target comes free first.
func (t *target) configure(s service.Service, active int) {
	t.slots = float64(s.Slots)
	t.maxConnections = s.ConnectionsPerEntry()
	t.ramp = s.Ramp
	t.queried = s.Asked > 0
	t.probeBudget.PerWindow = s.ProbesPerEntry()
	t.limit.Min = 1
	evenShare := math.Ceil(t.slots / float64(max(1, active)))
	t.limit.Max = math.Min(evenShare+1, float64(t.maxConnections))
	t.limit.Initial = t.limit.Max
}

func (t *target) markWarm() {
	t.stateMachine.Fire(lifecycle.Warm)
}

// open reports whether the target takes new work at all; while most targets are ejected, ejection is not heeded, so
// that a fault common to all cannot take every target away.
func (t *target) open(now time.Time, panicMode bool) bool {
	if t.removed || t.stopped || now.Before(t.backoffUntil) || t.record.Doubtful && !t.recentlyConfirmed(now) {
		return false
	}
	switch t.stateMachine.State() {
	case lifecycle.Leaving:
		return false
	case lifecycle.Ejected:
		return panicMode
	case lifecycle.Trial:
		return panicMode || t.load.Own() == 0
	case lifecycle.Cold, lifecycle.Active:
		return true
	}
	return true
}

// confirmed reports whether the target has just said that it takes work.
func (t *target) recentlyConfirmed(now time.Time) bool {
	return now.Sub(t.reportAt) <= maxConfirmationAge || now.Sub(t.healthyAt) <= maxConfirmationAge
}

// rampFraction is the share of its slots that a cold target may be given.
func (t *target) rampFraction(now time.Time) float64 {
	if t.stateMachine.State() != lifecycle.Cold || t.ramp <= 0 {
		return 1
	}
	fraction := float64(now.Sub(t.coldSince)) / float64(t.ramp)
	return math.Min(1, math.Max(minRampFraction, fraction))
}

func (t *target) hasCapacity(now time.Time, long bool) bool {
	own := t.load.Own()
	if t.queried {
		return own < t.maxConnections && t.hasFreeSlot(now)
	}
	limit := math.Max(1, t.limit.Current()*t.rampFraction(now))
	if float64(own)+1 > limit || own >= t.maxConnections {
		return false
	}
	return !long || t.hasLongCapacity()
}

func (t *target) hasLongCapacity() bool {
	return t.longInFlight+t.peersLongInFlight < max(1, int(t.slots*maxLongShare))
}

// cost is the expected time to an answer as a multiple of that of an idle, healthy target. Slowness counts only beyond
// what the spread of ordinary requests explains.
func (t *target) cost(now time.Time) float64 {
	if t.queried && t.report.Slots > 0 && now.Sub(t.reportAt) < maxReportAge {
		return t.reportedCost(now)
	}
	busy := 1 + t.load.At(now)/t.slots
	slow := math.Max(1, t.slownessScore.Ratio(now)/maxNormalSlowness)
	return busy * slow / t.rampFraction(now)
}
