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
	staleness       = 60 * time.Millisecond
	slownessMemory  = 400 * time.Millisecond
	slownessWeight  = 0.15
	ordinaryRatio   = 1.6 // slowness that the spread of ordinary requests explains
	longShare       = 0.5 // share of a target's slots that long requests may hold
	firstBackoff    = 100 * time.Millisecond
	longestBackoff  = 2 * time.Second
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	rampFloor       = 0.1
	trialsToRecover = 3
)

// target is what one entry knows of one target.
type target struct {
	record  service.Target
	slots   float64
	share   int  // connections that this entry may use
	asked   bool // targets of the service are asked for their load before each choice
	ramp    time.Duration
	removed bool // no longer in the record
	stopped bool // a planned stop is in force

	index     int           // in the list of targets
	freeAt    int           // place in the list of targets with a free slot, or -1
	home      int           // slots that this entry counts as its own
	report    report.Report // newest load report with slots
	reportAt  time.Time
	wellAt    time.Time // when it last said that it is well without telling its load
	sentSince int       // requests sent since the report
	crowding  *crowding // of the service
	floor     interference.Floor
	machine   lifecycle.Machine
	load      load.Estimate
	score     slowness.Score
	limit     limiter.Limit
	probes    probebudget.Budget
	peersLong int
	long      int // own long requests in flight

	since       time.Time // start of the cold state
	backoff     time.Duration
	backoffTill time.Time
	ejection    time.Duration
	ejectedTill time.Time
	trials      int
	leftAt      time.Time
	checkedAt   time.Time
	unreachable bool // has refused a connection since it began to leave
	lastSent    time.Time
	sent        uint64
}

func newTarget(now time.Time, record service.Target, s service.Service, active int) *target {
	t := &target{
		record: record,
		load:   load.Estimate{Staleness: staleness},
		score:  slowness.Score{Memory: slownessMemory, Weight: slownessWeight},
		probes: probebudget.Budget{Started: now},
		since:  now,
	}
	t.configure(s, active)
	return t
}

// configure takes the record and the number of entries that send to the target. Each keeps its even part of the slots
// in flight, and one more, so that a slot that comes free finds work; what goes beyond waits at the entry, where it can
// still go to whichever target comes free first.
func (t *target) configure(s service.Service, active int) {
	t.slots = float64(s.Slots)
	t.share = s.ConnectionsPerEntry()
	t.ramp = s.Ramp
	t.asked = s.Asked > 0
	t.probes.PerWindow = s.ProbesPerEntry()
	t.limit.Min = 1
	part := math.Ceil(t.slots / float64(max(1, active)))
	t.limit.Max = math.Min(part+1, float64(t.share))
	t.limit.Initial = t.limit.Max
}

func (t *target) warm() {
	t.machine.Fire(lifecycle.Warm)
}

// open reports whether the target takes new work at all; while most targets are ejected, ejection is not heeded, so
// that a fault common to all cannot take every target away.
func (t *target) open(now time.Time, panicking bool) bool {
	if t.removed || t.stopped || now.Before(t.backoffTill) || t.record.Doubtful && !t.confirmed(now) {
		return false
	}
	switch t.machine.State() {
	case lifecycle.Leaving:
		return false
	case lifecycle.Ejected:
		return panicking
	case lifecycle.Trial:
		return panicking || t.load.Own() == 0
	case lifecycle.Cold, lifecycle.Active:
		return true
	}
	return true
}

// confirmed reports whether the target has just said that it takes work.
func (t *target) confirmed(now time.Time) bool {
	return now.Sub(t.reportAt) <= confirmedFor || now.Sub(t.wellAt) <= confirmedFor
}

// rampFraction is the share of its slots that a cold target may be given.
func (t *target) rampFraction(now time.Time) float64 {
	if t.machine.State() != lifecycle.Cold || t.ramp <= 0 {
		return 1
	}
	fraction := float64(now.Sub(t.since)) / float64(t.ramp)
	return math.Min(1, math.Max(rampFloor, fraction))
}

func (t *target) fits(now time.Time, long bool) bool {
	own := t.load.Own()
	if t.asked {
		return own < t.share && t.room(now)
	}
	limit := math.Max(1, t.limit.Current()*t.rampFraction(now))
	if float64(own)+1 > limit || own >= t.share {
		return false
	}
	return !long || t.fitsLong()
}

func (t *target) fitsLong() bool {
	return t.long+t.peersLong < max(1, int(t.slots*longShare))
}

// cost is the expected time to an answer as a multiple of that of an idle, healthy target. Slowness counts only beyond
// what the spread of ordinary requests explains.
func (t *target) cost(now time.Time) float64 {
	if t.asked && t.report.Slots > 0 && now.Sub(t.reportAt) < reportUseful {
		return t.reportedCost(now)
	}
	busy := 1 + t.load.At(now)/t.slots
	slow := math.Max(1, t.score.Ratio(now)/ordinaryRatio)
	return busy * slow / t.rampFraction(now)
}
