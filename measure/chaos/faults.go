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

const holderWork = 400 * time.Millisecond // long enough for the target to have begun when the holder of the claim is killed

// faults keeps two injectors from working on the same thing at once.
type faults struct {
	mu   sync.Mutex
	busy map[any]bool
}

func (f *faults) take(what any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy == nil {
		f.busy = map[any]bool{}
	}
	if f.busy[what] {
		return false
	}
	f.busy[what] = true
	return true
}

func (f *faults) give(what any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, what)
}

// inject makes one fault after the other; two injectors together make them in pairs.
func (r *Run) inject(ctx context.Context, random *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){
		r.killEntry, r.killEntry, r.pauseEntry, r.pauseEntry, r.breakPeers, r.breakPeers, r.breakStoreLink,
		r.breakPlatform, r.breakPlatform, r.breakTarget, r.breakTarget, r.crashTarget, r.killHolder,
	}
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))](ctx, random)
		wait(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	}
}

func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (r *Run) killEntry(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	if !r.faults.take(e) {
		return
	}
	defer r.faults.give(e)
	r.history.count("entries killed")
	e.Kill()
	wait(ctx, between(random, 50*time.Millisecond, 2*time.Second))
	if err := e.Start(); err != nil {
		r.history.addWrong("an entry did not start: " + err.Error())
	}
}

// killHolder kills the entry that holds a claim while the target is at work, and sends the key again to another entry.
func (r *Run) killHolder(ctx context.Context, random *rand.Rand) {
	at := random.IntN(len(r.fleet.Entries))
	holder, other := r.fleet.Entries[at], r.fleet.Entries[(at+1)%len(r.fleet.Entries)]
	if !r.faults.take(holder) {
		return
	}
	defer r.faults.give(holder)
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
		r.history.addWrong("an entry did not start: " + err.Error())
	}
}

// pauseEntry stops an entry, at times for longer than any lease or time-out.
func (r *Run) pauseEntry(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	if !r.faults.take(e) {
		return
	}
	defer r.faults.give(e)
	r.history.count("entries paused")
	e.Pause()
	span := between(random, 100*time.Millisecond, 3*time.Second)
	if random.IntN(4) == 0 {
		span = between(random, 10*time.Second, 13*time.Second)
	}
	wait(ctx, span)
	e.Resume()
}

func (r *Run) breakPeers(ctx context.Context, random *rand.Rand) {
	e := r.fleet.Entries[random.IntN(len(r.fleet.Entries))]
	var links []*link.Link
	for _, l := range e.PeerLinks {
		if random.IntN(2) == 0 && r.faults.take(l) {
			links = append(links, l)
			defer r.faults.give(l)
		}
	}
	r.breakLinks(ctx, random, links, "peer links")
}

func (r *Run) breakStoreLink(ctx context.Context, random *rand.Rand) {
	l := r.fleet.Entries[random.IntN(len(r.fleet.Entries))].StoreLink
	if !r.faults.take(l) {
		return
	}
	defer r.faults.give(l)
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
			_ = l.Delay(between(random, 5*time.Millisecond, 300*time.Millisecond), 50*time.Millisecond)
		}
	}
	wait(ctx, between(random, 300*time.Millisecond, 4*time.Second))
	for _, l := range links {
		l.Clear()
		if err := l.Mend(); err != nil {
			r.history.addWrong("a link did not mend: " + err.Error())
		}
	}
}

func (r *Run) breakPlatform(ctx context.Context, random *rand.Rand) {
	part := []string{"table", "table", "objects", "vms"}[random.IntN(4)]
	if !r.faults.take(part) {
		return
	}
	defer r.faults.give(part)
	fault := []trouble.Platform{
		{Outage: true},
		{Hang: true},
		{DelayMilliseconds: 50 + random.IntN(400)},
		{LoseAnswers: 0.3},
		{LoseAnswers: 0.2, DelayMilliseconds: 100},
	}[random.IntN(5)]
	r.history.count("platform " + part + " broken")
	_ = r.fleet.Platform(part, fault)
	wait(ctx, between(random, 300*time.Millisecond, 5*time.Second))
	_ = r.fleet.Platform(part, trouble.Platform{})
}

func (r *Run) breakTarget(ctx context.Context, random *rand.Rand) {
	g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
	i := random.IntN(g.Group.Count)
	if !r.faults.take(g.TargetName(i)) {
		return
	}
	defer r.faults.give(g.TargetName(i))
	fault := []trouble.Target{{SlowFactor: 10}, {FailFast: true}, {Shed: true}, {Lie: true}, {Hang: true}}[random.IntN(5)]
	r.history.count("targets broken")
	_ = g.SetFaults(i, fault)
	wait(ctx, between(random, 300*time.Millisecond, 3*time.Second))
	_ = g.SetFaults(i, trouble.Target{})
}

func (r *Run) crashTarget(_ context.Context, random *rand.Rand) {
	g := r.fleet.Groups[random.IntN(len(r.fleet.Groups))]
	i := random.IntN(g.Group.Count)
	if !r.faults.take(g.TargetName(i)) {
		return
	}
	defer r.faults.give(g.TargetName(i))
	r.history.count("targets crashed")
	_ = g.Crash(i)
}
