package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"poplarworks/measure/fleet"
	"poplarworks/measure/trouble"
)

const (
	drainLimit   = 8 * time.Second
	statusPeriod = 200 * time.Millisecond
)

// drain lets one target after the other say that it is leaving, and then come back as another incarnation.
func (r *Run) drain(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		wait(ctx, between(random, 500*time.Millisecond, 3*time.Second))
		g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
		i := random.IntN(g.Group.Count)
		if !r.faults.take(g.TargetName(i)) {
			continue
		}
		r.history.count("targets drained by their sign")
		from := time.Now()
		_ = g.SetFaults(i, trouble.Target{Drain: true})
		wait(ctx, between(random, 3*time.Second, 5*time.Second))
		r.history.addLeave(leave{target: g.TargetName(i), from: from, until: time.Now()})
		_ = g.Crash(i)
		_ = g.SetFaults(i, trouble.Target{})
		r.faults.give(g.TargetName(i))
	}
}

// plan announces stops of targets, waits until they are drained, and withdraws them.
func (r *Run) plan(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, between(random, 500*time.Millisecond, 2*time.Second))
		g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
		i := random.IntN(g.Group.Count)
		if !r.faults.take(g.TargetName(i)) {
			continue
		}
		r.planStop(random, g, i, fmt.Sprintf("stop-%d", n))
		r.faults.give(g.TargetName(i))
	}
}

func (r *Run) planStop(random *rand.Rand, g *fleet.Targets, i int, name string) {
	_, code := r.fleet.Ctl(r.any(random), "stop", "announce", name, "--service", g.Group.Name, "--target", g.TargetName(i))
	if code != 0 {
		r.history.count("stops not accepted")
		// An outcome that is not known may be in force: the withdrawal below ends it.
		r.withdraw(random, name)
		return
	}
	r.history.count("stops announced")
	stopped := leave{target: g.TargetName(i), planned: true, from: time.Now()}
	for end := time.Now().Add(drainLimit); time.Now().Before(end); time.Sleep(statusPeriod) {
		if _, code := r.fleet.Ctl(r.any(random), "stop", "status", name); code == 0 {
			stopped.drained = time.Now()
			r.history.count("stops drained")
			time.Sleep(time.Second)
			break
		}
	}
	stopped.until = time.Now()
	r.history.addLeave(stopped)
	r.withdraw(random, name)
}

func (r *Run) any(random *rand.Rand) *fleet.Entry {
	return r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
}

// withdraw tries until it succeeds or there is nothing to withdraw.
func (r *Run) withdraw(random *rand.Rand, name string) {
	const refused = 3
	for end := time.Now().Add(drainLimit); time.Now().Before(end); time.Sleep(statusPeriod) {
		if _, code := r.fleet.Ctl(r.any(random), "stop", "withdraw", name); code == 0 || code == refused {
			return
		}
	}
}
