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
	drainTimeout   = 8 * time.Second
	statusInterval = 200 * time.Millisecond
)

// drainTargets makes one random target after the other announce that it leaves, and then restarts it as a new
// incarnation.
func (r *Run) drainTargets(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		wait(ctx, randomBetween(random, 500*time.Millisecond, 3*time.Second))
		g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
		i := random.IntN(g.Group.Count)
		if !r.locks.tryLock(g.TargetName(i)) {
			continue
		}
		r.history.count("targets drained by their sign")
		from := time.Now()
		_ = g.SetFaults(i, trouble.Target{Drain: true})
		wait(ctx, randomBetween(random, 3*time.Second, 5*time.Second))
		r.history.addLeavingPeriod(leavingPeriod{target: g.TargetName(i), from: from, until: time.Now()})
		_ = g.Crash(i)
		_ = g.SetFaults(i, trouble.Target{})
		r.locks.unlock(g.TargetName(i))
	}
}

// planStops announces planned stops of random targets one after the other, and withdraws each once its target is drained.
func (r *Run) planStops(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, randomBetween(random, 500*time.Millisecond, 2*time.Second))
		g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
		i := random.IntN(g.Group.Count)
		if !r.locks.tryLock(g.TargetName(i)) {
			continue
		}
		r.planStop(random, g, i, fmt.Sprintf("stop-%d", n))
		r.locks.unlock(g.TargetName(i))
	}
}

// planStop announces one stop, waits until the target is drained or a limit has passed, and withdraws the stop.
func (r *Run) planStop(random *rand.Rand, g *fleet.Targets, i int, name string) {
	_, code := r.fleet.Ctl(r.randomEntry(random), "stop", "announce", name, "--service", g.Group.Name, "--target", g.TargetName(i))
	if code != 0 {
		r.history.count("stops not accepted")
		// The announcement may be in force although its outcome is unknown. The withdrawal ends it.
		r.withdraw(random, name)
		return
	}
	r.history.count("stops announced")
	stopped := leavingPeriod{target: g.TargetName(i), planned: true, from: time.Now()}
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); time.Sleep(statusInterval) {
		if _, code := r.fleet.Ctl(r.randomEntry(random), "stop", "status", name); code == 0 {
			stopped.drainedAt = time.Now()
			r.history.count("stops drained")
			time.Sleep(time.Second)
			break
		}
	}
	stopped.until = time.Now()
	r.history.addLeavingPeriod(stopped)
	r.withdraw(random, name)
}

// randomEntry returns a random entry.
func (r *Run) randomEntry(random *rand.Rand) *fleet.Entry {
	return r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
}

// withdraw repeats the withdrawal until it succeeds, is refused because there is no such stop, or a limit has passed.
func (r *Run) withdraw(random *rand.Rand, name string) {
	const refused = 3
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); time.Sleep(statusInterval) {
		if _, code := r.fleet.Ctl(r.randomEntry(random), "stop", "withdraw", name); code == 0 || code == refused {
			return
		}
	}
}
