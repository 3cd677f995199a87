package balancer

import (
	"math"
	"slices"
	"time"

	"poplarworks/core/lifecycle"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/service"
)

const (
	reportUseful = 40 * time.Millisecond // after which a report says little: slowness shifts several times as often as requests end
	muteFor      = 10 * time.Second      // after which targets that told no load are asked again
	confirmedFor = 30 * time.Millisecond // for which a report shows that a doubtful target still takes work
	avoidSlow    = 2.0                   // reported slowdown above which a target is not asked again while the report is useful
	coldFactor   = 2.0                   // how much slower a target works while it is cold
	crossPenalty = 0.15                  // cost of a small answer's way between data centres, in times of an idle target's answer: more than busyCost
	farPenalty   = 3.0                   // cost of a large answer's way
	errorCost    = 8.0                   // cost of a target whose every attempt fails, in addition, as a multiple
	roomWeight   = 0.1                   // of one report in the share of this data centre's targets that had room
	busyCost     = 0.1                   // breaks ties between targets with free slots
)

// reported takes a load report.
func (t *target) reported(now time.Time, r report.Report) {
	t.load.Report(now, r.InFlight())
	if r.Slots > 0 {
		t.report, t.reportAt, t.sentSince = r, now, 0
		t.floor.Report(now, t.slowdown())
		if t.crowding != nil {
			t.crowding.reportedAt = now
		}
	}
}

// same reports whether the record is of this incarnation.
func (t *target) same(record service.Target) bool {
	return t.record.Name == record.Name && t.record.Address == record.Address && t.record.Started.Equal(record.Started)
}

// slowdown returns how many times longer than usual work takes at the target, by its last report.
func (t *target) slowdown() float64 {
	return max(1, t.report.Slowdown)
}

// answerTime is the expected time to an answer as a multiple of that of an idle target, by the last report and what was
// sent since.
func (t *target) answerTime(now time.Time) float64 {
	slots := float64(t.report.Slots)
	held := float64(t.report.InFlight() + t.sentSince)
	multiple := 1 + max(0, held+1-slots)/slots
	if crowds(t.report.InFlight()+t.sentSince, slots) {
		multiple *= t.crowding.factor()
	}
	if now.Before(t.record.ColdUntil) {
		multiple *= coldFactor
	}
	return multiple * t.slowdown()
}

// reportedCost ranks targets by the time to an answer; one whose attempts fail costs more.
func (t *target) reportedCost(now time.Time) float64 {
	held := float64(t.report.InFlight() + t.sentSince)
	cost := t.answerTime(now) + busyCost*held/float64(t.report.Slots)
	return cost * (1 + errorCost*t.score.ErrorShare())
}

// Candidates draws up to that many targets that are to be asked for their load before the request is submitted. A target that has
// just reported that it is slow is left out while others can be drawn.
func (b *Balancer) Candidates(now time.Time, r request.Request, most int) []service.Target {
	if most <= 0 {
		return nil
	}
	order := b.draw(now, r, most)
	slices.SortStableFunc(order, func(x, y *target) int { return int(x.unlikely(now)) - int(y.unlikely(now)) })
	drawn := make([]service.Target, 0, most)
	for _, t := range order[:min(most, len(order))] {
		drawn = append(drawn, t.record)
	}
	return drawn
}

// draw returns the open targets in random order, but for those of this data centre that come first: all of them for a large
// answer, and else all but one of those that are asked, or fewer the less room this data centre had lately. It leaves the subset
// only if that has too few.
func (b *Balancer) draw(now time.Time, r request.Request, most int) []*target {
	near, far := b.drawFrom(b.subset, now, r)
	if len(near)+len(far) < most && len(b.subset) < len(b.targets) {
		near, far = b.drawFrom(b.targets, now, r)
	}
	if r.Rule.Large {
		return append(near, far...)
	}
	first := min(len(near), int(math.Round(b.homeRoom*float64(most-1))))
	rest := append(far, near[first:]...)
	b.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(near[:first:first], rest...)
}

// drawFrom returns the open targets of this data centre and of others, each in random order.
func (b *Balancer) drawFrom(targets []*target, now time.Time, r request.Request) (near, far []*target) {
	panicking := b.census.panicking()
	for _, i := range b.Random.Perm(len(targets)) {
		t := targets[i]
		if !t.open(now, panicking) && !t.doubtful() || slices.Contains(r.Tried, t.record.Name) {
			continue
		}
		if t.record.DataCentre == b.Home {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	return near, far
}

// doubtful reports whether the target may be asked, since that alone can show that it still takes work.
func (t *target) doubtful() bool {
	return t.record.Doubtful && !t.removed && !t.stopped && t.machine.State() != lifecycle.Leaving
}

// unlikely ranks targets that will probably not be chosen behind the others.
func (t *target) unlikely(now time.Time) int8 {
	if now.Sub(t.reportAt) < reportUseful && t.slowdown() > avoidSlow {
		return 1
	}
	if t.machine.State() == lifecycle.Trial {
		return -1
	}
	return 0
}

// noteRoom follows the share of this data centre's targets that have room when they are asked.
func (b *Balancer) noteRoom(now time.Time, t *target) {
	if t.record.DataCentre != b.Home || t.report.Slots == 0 {
		return
	}
	room := 0.0
	if t.room(now) {
		room = 1
	}
	b.homeRoom += roomWeight * (room - b.homeRoom)
}

// crossing is the cost of the way of an answer from that target to this entry.
func (b *Balancer) crossing(t *target, large bool) float64 {
	switch {
	case t.record.DataCentre == b.Home:
		return 0
	case large:
		return farPenalty
	default:
		return crossPenalty
	}
}

// Mute notes that a target is well and tells no load. While none of the service has ever told any, its targets are asked only
// if that is needed to trust them.
func (b *Balancer) Mute(now time.Time, name string) {
	i, ok := b.byName[name]
	if !ok {
		return
	}
	b.targets[i].wellAt = now
	if b.crowding.reportedAt.IsZero() {
		b.muteUntil = now.Add(muteFor)
	}
}

// WorthAsking reports whether asking targets can tell anything.
func (b *Balancer) WorthAsking(now time.Time) bool {
	return !now.Before(b.muteUntil) || slices.ContainsFunc(b.targets, (*target).doubtful)
}

// Unreachable notes that a target did not answer when it was asked for its load.
func (b *Balancer) Unreachable(now time.Time, name string) {
	if i, ok := b.byName[name]; ok {
		b.fail(now, b.targets[i], failurePenalty)
	}
}
