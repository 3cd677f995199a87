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
	burstLength         = 6
	burstInterval       = 60 * time.Millisecond
	rollingStopInterval = 400 * time.Millisecond // between the planned stops in a rolling restart
)

// injectFault injects one random fault, which may overlap with others.
func (r *Run) injectFault(ctx context.Context) {
	duration := time.Duration(200+r.random.IntN(1800)) * time.Millisecond
	switch n := r.random.IntN(20); {
	case n < 4:
		r.injectStoreFault(n, duration)
	case n < 10:
		r.injectTargetFault(ctx, n-4, duration)
	case n < 12:
		r.reconfigure(n == 11)
	case n == 12:
		for i := range r.env.Entries {
			r.kill(i, duration)
		}
	case n == 13:
		for i := range r.env.Entries[1:] {
			r.schedule(time.Duration(i)*rollingStopInterval, func() { r.stop(i + 1) })
		}
	default:
		r.injectEntryFault(n-14, r.random.IntN(len(r.env.Entries)), duration)
	}
}

func (r *Run) setStoreFaults(f rowstore.Faults) {
	r.env.RecordStoreDisturbance()
	r.env.Store.SetFaults(f)
}

func (r *Run) injectStoreFault(n int, duration time.Duration) {
	if n == 3 {
		r.env.RecordStoreDisturbance()
		r.env.Store.DropHistory()
		return
	}
	r.setStoreFaults([]rowstore.Faults{{Status: http.StatusServiceUnavailable}, {Hang: true}, {Delay: 150 * time.Millisecond}}[n])
	r.schedule(duration, func() { r.setStoreFaults(rowstore.Faults{}) })
}

// injectTargetFault makes a target misbehave, breaks the link to it, drains or crashes it, or adds a target.
func (r *Run) injectTargetFault(ctx context.Context, n int, duration time.Duration) {
	service := []string{"lookups", "fees"}[r.random.IntN(2)]
	targets := r.env.ActiveTargets(service)
	t := targets[r.random.IntN(len(targets))]
	switch {
	case n < 2:
		faults := []backend.Faults{{Shed: true}, {CloseWithoutResponse: true}, {Truncate: true}, {Delay: 200 * time.Millisecond}}
		t.SetFaults(faults[r.random.IntN(len(faults))])
		r.schedule(duration, func() { t.SetFaults(backend.Faults{}) })
	case n < 4:
		path := r.env.targetLink(t)
		r.injectLinkFault(path, duration)
		r.schedule(duration, func() { r.restoreLink(path) })
	case n == 4 && len(targets) > minTargets:
		r.env.DrainTarget(t)
	case n == 5:
		if len(targets) > minTargets {
			r.env.CrashTarget(t)
		}
		if _, err := r.env.AddTarget(ctx, service); err != nil {
			r.logf("a target cannot be added: %v", err)
		}
	}
}

// injectLinkFault cuts, hangs or delays a link.
func (r *Run) injectLinkFault(l *link.Link, duration time.Duration) {
	faults := []func() error{
		func() error { l.Cut(); return nil }, l.Hang, l.HangDownstream, func() error { return l.Delay(duration/8, duration/16) },
	}
	if err := faults[r.random.IntN(len(faults))](); err != nil {
		r.logf("a fault cannot be injected into a link: %v", err)
	}
}

// reconfigure writes one configuration, or a burst of them.
func (r *Run) reconfigure(burst bool) {
	r.env.Configure()
	if !burst {
		return
	}
	for i := range burstLength {
		r.schedule(time.Duration(i+1)*burstInterval, r.env.Configure)
	}
}

// injectEntryFault kills, stops, reloads or pauses an entry, or breaks its link to the store or from its callers.
func (r *Run) injectEntryFault(n, i int, duration time.Duration) {
	p := r.env.Entries[i]
	switch n {
	case 0:
		r.kill(i, duration)
	case 1:
		r.stop(i)
	case 2:
		p.Signal(syscall.SIGHUP)
	case 3:
		r.env.RecordDisturbance(i)
		p.Signal(syscall.SIGSTOP)
		r.schedule(duration, func() {
			r.env.RecordDisturbance(i)
			p.Signal(syscall.SIGCONT)
		})
	default:
		l := []*link.Link{r.env.StoreLinks[i], r.env.CallerLinks[i]}[n-4]
		r.env.RecordDisturbance(i)
		r.injectLinkFault(l, duration)
		r.schedule(duration, func() {
			r.env.RecordDisturbance(i)
			r.restoreLink(l)
		})
	}
}

// kill ends an entry without warning, and restarts it after the time.
func (r *Run) kill(i int, duration time.Duration) {
	r.env.RecordDisturbance(i)
	r.env.Entries[i].Signal(syscall.SIGKILL)
	r.schedule(duration, func() { r.restart(i) })
}

// stop asks an entry to stop, as a planned stop does, kills it after the grace time, and starts it again.
func (r *Run) stop(i int) {
	p := r.env.Entries[i]
	r.env.RecordStop(i)
	p.Signal(syscall.SIGTERM)
	r.schedule(gracePeriod, func() {
		p.Signal(syscall.SIGKILL)
		p.Wait(time.Second)
		r.restart(i)
	})
}
