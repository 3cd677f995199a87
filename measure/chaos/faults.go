package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"poplarworks/measure/link"
	"poplarworks/measure/trouble"
)

const holderWork = 400 * time.Millisecond // long enough that the target is at work when the holder of the claim is killed

// resourceLocks holds the locks that prevent two injectors from breaking the same resource at once.
type resourceLocks struct {
	mu   sync.Mutex
	busy map[any]bool
}

// tryLock locks the resource, and reports whether it was free.
func (l *resourceLocks) tryLock(resource any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy == nil {
		l.busy = map[any]bool{}
	}
	if l.busy[resource] {
		return false
	}
	l.busy[resource] = true
	return true
}

func (l *resourceLocks) unlock(resource any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, resource)
}

// injectFaults injects one random fault after the other. Two injectors run at once, so that faults overlap.
func (r *Run) injectFaults(ctx context.Context, random *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){
		r.killEntry, r.killEntry, r.pauseEntry, r.pauseEntry, r.breakPeerLinks, r.breakPeerLinks, r.breakStoreLink,
		r.breakPlatform, r.breakPlatform, r.breakTarget, r.breakTarget, r.crashTarget, r.killHolder,
	}
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))](ctx, random)
		wait(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	}
}

// wait waits for the time or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// randomBetween returns a random duration of at least low and less than high.
func randomBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// killEntry kills a random entry and starts it again later.
func (r *Run) killEntry(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	if !r.locks.tryLock(e) {
		return
	}
	defer r.locks.unlock(e)
	r.history.count("entries killed")
	e.Kill()
	wait(ctx, randomBetween(random, 50*time.Millisecond, 2*time.Second))
	if err := e.Start(); err != nil {
		r.history.addViolation("an entry could not be started: " + err.Error())
	}
}

// killHolder kills the entry that holds a claim while the target is at work, and sends the same key to another entry.
func (r *Run) killHolder(ctx context.Context, random *rand.Rand) {
	index := random.IntN(len(r.fleet.Entries))
	holder, other := r.fleet.Entries[index], r.fleet.Entries[(index+1)%len(r.fleet.Entries)]
	if !r.locks.tryLock(holder) {
		return
	}
	defer r.locks.unlock(holder)
	r.history.count("holders of a claim killed")
	c := r.newCaller(fmt.Sprintf("holder-%d", random.Uint64()), random)
	defer c.client.CloseIdleConnections()
	key, path := c.name+"-fee", fmt.Sprintf("/fees/1?work=%s", holderWork)
	first := r.newCaller(c.name+"-first", random)
	defer first.client.CloseIdleConnections()
	var sent sync.WaitGroup
	sent.Go(func() { first.sendTo(holder, http.MethodPost, path, key, callTimeout) })
	wait(ctx, holderWork/2)
	holder.Kill()
	c.sendTo(other, http.MethodPost, path, key, callTimeout)
	sent.Wait()
	if err := holder.Start(); err != nil {
		r.history.addViolation("an entry could not be started: " + err.Error())
	}
}

// pauseEntry pauses a random entry, in one of four cases for longer than any lease or timeout.
func (r *Run) pauseEntry(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	if !r.locks.tryLock(e) {
		return
	}
	defer r.locks.unlock(e)
	r.history.count("entries paused")
	e.Pause()
	duration := randomBetween(random, 100*time.Millisecond, 3*time.Second)
	if random.IntN(4) == 0 {
		duration = randomBetween(random, 10*time.Second, 13*time.Second)
	}
	wait(ctx, duration)
	e.Resume()
}

func (r *Run) breakPeerLinks(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	var links []*link.Link
	for _, l := range e.PeerLinks {
		if random.IntN(2) == 0 && r.locks.tryLock(l) {
			links = append(links, l)
			defer r.locks.unlock(l)
		}
	}
	r.breakLinks(ctx, random, links, "peer links")
}

func (r *Run) breakStoreLink(ctx context.Context, random *rand.Rand) {
	l := r.fleet.Entries[random.IntN(len(r.fleet.Entries))].StoreLink
	if !r.locks.tryLock(l) {
		return
	}
	defer r.locks.unlock(l)
	r.breakLinks(ctx, random, []*link.Link{l}, "store links")
}

func (r *Run) breakLinks(ctx context.Context, random *rand.Rand, links []*link.Link, name string) {
	kind := random.IntN(3)
	for _, l := range links {
		switch kind {
		case 0:
			r.history.count(name + " cut")
			l.Cut()
		case 1:
			r.history.count(name + " hung")
			_ = l.Hang()
		case 2:
			r.history.count(name + " delayed")
			_ = l.Delay(randomBetween(random, 5*time.Millisecond, 300*time.Millisecond), 50*time.Millisecond)
		}
	}
	wait(ctx, randomBetween(random, 300*time.Millisecond, 4*time.Second))
	for _, l := range links {
		l.Clear()
		if err := l.Restore(); err != nil {
			r.history.addViolation("a link could not be restored: " + err.Error())
		}
	}
}

func (r *Run) breakPlatform(ctx context.Context, random *rand.Rand) {
	part := []string{"table", "table", "objects", "vms"}[random.IntN(4)]
	if !r.locks.tryLock(part) {
		return
	}
	defer r.locks.unlock(part)
	fault := []trouble.Platform{
		{Outage: true},
		{Hang: true},
		{DelayMilliseconds: 50 + random.IntN(400)},
		{LoseAnswers: 0.3},
		{LoseAnswers: 0.2, DelayMilliseconds: 100},
	}[random.IntN(5)]
	r.history.count("platform " + part + " broken")
	_ = r.fleet.Platform(part, fault)
	wait(ctx, randomBetween(random, 300*time.Millisecond, 5*time.Second))
	_ = r.fleet.Platform(part, trouble.Platform{})
}

func (r *Run) breakTarget(ctx context.Context, random *rand.Rand) {
	g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
	i := random.IntN(g.Group.Count)
	if !r.locks.tryLock(g.TargetName(i)) {
		return
	}
	defer r.locks.unlock(g.TargetName(i))
	fault := []trouble.Target{{SlowFactor: 10}, {FailFast: true}, {Shed: true}, {Lie: true}, {Hang: true}}[random.IntN(5)]
	r.history.count("targets broken")
	_ = g.SetFaults(i, fault)
	wait(ctx, randomBetween(random, 300*time.Millisecond, 3*time.Second))
	_ = g.SetFaults(i, trouble.Target{})
}

func (r *Run) crashTarget(_ context.Context, random *rand.Rand) {
	g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
	i := random.IntN(g.Group.Count)
	if !r.locks.tryLock(g.TargetName(i)) {
		return
	}
	defer r.locks.unlock(g.TargetName(i))
	r.history.count("targets crashed")
	_ = g.Crash(i)
}
