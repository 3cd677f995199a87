package soak

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"poplarworks/measure/link"
	"poplarworks/standin/backend"
)

// Join starts a target of the service, which the entries reach through a path of its own.
func (w *World) Join(ctx context.Context, service string) (*backend.Target, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := len(w.targets)
	t := &backend.Target{Name: fmt.Sprintf("t-%d", number), Service: service, Slots: slots, Work: workTime, Zone: w.dataCentre(number / 2)}
	t.Crashed = func() {
		w.Crash(t)
		_, _ = w.Join(ctx, service) // the run goes on with fewer targets
	}
	if err := t.Start(ctx); err != nil {
		return nil, err
	}
	own, err := netip.ParseAddrPort(t.Address())
	if err != nil {
		return nil, err
	}
	path := &link.Link{From: w.address(targetHost, firstPort+number), To: own}
	if err := path.Start(); err != nil {
		return nil, err
	}
	t.Reached = path.From.String()
	w.targets[t.Name], w.paths[t.Name] = t, path
	w.Store.Put("servers", t.Name, t.Registration())
	return t, nil
}

// Leave makes a target say that it leaves, and takes it away once no request may reach it any more.
func (w *World) Leave(t *backend.Target) {
	w.path(t).Clear() // requests that are held up on their way would arrive too late
	t.Leave()
	w.Store.Put("servers", t.Name, t.Registration())
	w.mu.Lock()
	w.left[t.Name] = time.Now()
	w.mu.Unlock()
	time.AfterFunc(3*LeaveWithin, func() { w.end(t) })
}

// Crash ends a target without a word; its registration lapses later.
func (w *World) Crash(t *backend.Target) {
	t.Stop()
	w.path(t).Cut()
	time.AfterFunc(3*beatEvery, func() { w.end(t) })
}

func (w *World) end(t *backend.Target) {
	w.mu.Lock()
	w.gone[t.Name] = true
	w.mu.Unlock()
	t.Stop()
	w.path(t).Cut()
	w.Store.Put("servers", t.Name, nil)
}

// path returns the way from the entries to the target.
func (w *World) path(t *backend.Target) *link.Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paths[t.Name]
}

// Targets returns the targets that have neither left nor been told to.
func (w *World) Targets(service string) []*backend.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*backend.Target
	for name, t := range w.targets {
		if _, leaving := w.left[name]; t.Service == service && !leaving && !w.gone[name] {
			list = append(list, t)
		}
	}
	return list
}

// beat keeps the registrations alive.
func (w *World) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(beatEvery)
		for _, service := range []string{"lookups", "fees"} {
			for _, t := range w.Targets(service) {
				w.Store.Put("servers", t.Name, t.Registration())
			}
		}
	}
}
