package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"poplarworks/measure/link"
	"poplarworks/standin/backend"
	"poplarworks/standin/rowstore"
)

const (
	stormLength = 6
	stormGap    = 60 * time.Millisecond
	rollGap     = 400 * time.Millisecond // between planned stops of one entry after the other
)

// fault injects one fault, which may overlap with others.
func (r *Run) fault(ctx context.Context) {
	span := time.Duration(200+r.random.IntN(1800)) * time.Millisecond
	switch n := r.random.IntN(20); {
	case n < 4:
		r.storeFault(n, span)
	case n < 10:
		r.targetFault(ctx, n-4, span)
	case n < 12:
		r.reconfigure(n == 11)
	case n == 12:
		for i := range r.world.Entries {
			r.kill(i, span)
		}
	case n == 13:
		for i := range r.world.Entries[1:] {
			r.later(time.Duration(i)*rollGap, func() { r.stop(i + 1) })
		}
	default:
		r.entryFault(n-14, r.random.IntN(len(r.world.Entries)), span)
	}
}

func (r *Run) breakStore(f rowstore.Faults) {
	r.world.DisturbStore()
	r.world.Store.Break(f)
}

func (r *Run) storeFault(n int, span time.Duration) {
	if n == 3 {
		r.world.DisturbStore()
		r.world.Store.Forget()
		return
	}
	r.breakStore([]rowstore.Faults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {Delay: 150 * time.Millisecond}}[n])
	r.later(span, func() { r.breakStore(rowstore.Faults{}) })
}

// targetFault makes a target misbehave, breaks the path to it, or takes it away.
func (r *Run) targetFault(ctx context.Context, n int, span time.Duration) {
	service := []string{"lookups", "fees"}[r.random.IntN(2)]
	targets := r.world.Targets(service)
	t := targets[r.random.IntN(len(targets))]
	switch {
	case n < 2:
		faults := []backend.Faults{{Shed: true}, {Reset: true}, {Cut: true}, {Slow: 200 * time.Millisecond}}
		t.Break(faults[r.random.IntN(len(faults))])
		r.later(span, func() { t.Break(backend.Faults{}) })
	case n < 4:
		path := r.world.path(t)
		r.breakLink(path, span)
		r.later(span, func() { r.mend(path) })
	case n == 4 && len(targets) > fewestTargets:
		r.world.Leave(t)
	case n == 5:
		if len(targets) > fewestTargets {
			r.world.Crash(t)
		}
		if _, err := r.world.Join(ctx, service); err != nil {
			r.note("no target joins: %v", err)
		}
	}
}

// breakLink cuts, silences or delays a link.
func (r *Run) breakLink(l *link.Link, span time.Duration) {
	broken := []func() error{
		func() error { l.Cut(); return nil }, l.Hang, l.HangBack, func() error { return l.Delay(span/8, span/16) },
	}
	if err := broken[r.random.IntN(len(broken))](); err != nil {
		r.note("a link cannot be broken: %v", err)
	}
}

// reconfigure writes a configuration, or a run of them.
func (r *Run) reconfigure(storm bool) {
	r.world.Configure()
	if !storm {
		return
	}
	for i := range stormLength {
		r.later(time.Duration(i+1)*stormGap, r.world.Configure)
	}
}

// entryFault signals an entry, or breaks its path to the store or from its callers.
func (r *Run) entryFault(n, i int, span time.Duration) {
	p := r.world.Entries[i]
	switch n {
	case 0:
		r.kill(i, span)
	case 1:
		r.stop(i)
	case 2:
		p.Signal(syscall.SIGHUP)
	case 3:
		r.world.Disturb(i)
		p.Signal(syscall.SIGSTOP)
		r.later(span, func() {
			r.world.Disturb(i)
			p.Signal(syscall.SIGCONT)
		})
	default:
		l := []*link.Link{r.world.Links[i], r.world.Fronts[i]}[n-4]
		r.world.Disturb(i)
		r.breakLink(l, span)
		r.later(span, func() {
			r.world.Disturb(i)
			r.mend(l)
		})
	}
}

func (r *Run) kill(i int, span time.Duration) {
	r.world.Disturb(i)
	r.world.Entries[i].Signal(syscall.SIGKILL)
	r.later(span, func() { r.restart(i) })
}

// stop asks an entry to stop, as a planned change does, kills it after the grace time, and starts it again.
func (r *Run) stop(i int) {
	p := r.world.Entries[i]
	r.world.Stopping(i)
	p.Signal(syscall.SIGTERM)
	r.later(grace, func() {
		p.Signal(syscall.SIGKILL)
		p.Wait(time.Second)
		r.restart(i)
	})
}
