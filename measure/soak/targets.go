package soak

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/measure/link"
	"poplarworks/standin/backend"
)

// AddTarget starts and registers a target of the service. The entries reach it through a link of its own.
func (e *Environment) AddTarget(ctx context.Context, service string) (*backend.Target, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil, errors.New("the environment has been stopped")
	}
	number := len(e.targets)
	t := &backend.Target{Name: fmt.Sprintf("t-%d", number), Service: service, Slots: targetSlots, Work: targetWorkTime, Zone: e.dataCentre(number / 2)}
	t.OnCrash = func(mute bool) {
		if mute {
			e.muteTarget(t)
		} else {
			e.CrashTarget(t)
		}
		_, _ = e.AddTarget(ctx, service) // the run goes on with fewer targets if this fails
	}
	if err := t.Start(ctx); err != nil {
		return nil, err
	}
	own, err := netip.ParseAddrPort(t.Address())
	if err != nil {
		return nil, err
	}
	path := &link.Link{From: e.address(targetHost, firstPort+number), To: own}
	if err := path.Start(); err != nil {
		return nil, err
	}
	t.RegisteredAddress = path.From.String()
	e.targets[t.Name], e.targetLinks[t.Name] = t, path
	e.Store.Put("servers", t.Name, t.Registration())
	return t, nil
}

// DrainTarget registers a target as leaving, and removes it once no request may reach it any more.
func (e *Environment) DrainTarget(t *backend.Target) {
	e.targetLink(t).Clear() // requests that the link delays would arrive too late
	t.MarkLeaving()
	e.Store.Put("servers", t.Name, t.Registration())
	e.mu.Lock()
	e.leavingSince[t.Name] = time.Now()
	e.leftUnread[t.Name] = time.Since(e.storeDisturbed) <= refusalTimeout
	e.mu.Unlock()
	time.AfterFunc(3*leaveTimeout, func() { e.removeTarget(t) })
}

// CrashTarget ends a target without an announcement. Its registration is removed later.
func (e *Environment) CrashTarget(t *backend.Target) {
	t.Stop()
	e.targetLink(t).Cut()
	time.AfterFunc(3*registrationInterval, func() { e.removeTarget(t) })
}

// LimitTarget lets a target name a rate limit from now on.
func (e *Environment) LimitTarget(t *backend.Target, perSecond float64) {
	t.SetRateLimit(perSecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits[t.Name] = limit{perSecond: perSecond, from: time.Now()}
}

// crashesSoFar returns how many targets a crashing request has reached.
func (e *Environment) crashesSoFar() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashes := 0
	for _, t := range e.targets {
		for _, run := range t.Executions() {
			if strings.HasPrefix(run.ID, "crash") {
				crashes++
			}
		}
	}
	return crashes
}

// muteTarget silences the connections of a target. Its registration is removed later.
func (e *Environment) muteTarget(t *backend.Target) {
	if err := e.targetLink(t).Hang(); err != nil {
		e.targetLink(t).Cut()
	}
	time.AfterFunc(3*registrationInterval, func() { e.removeTarget(t) })
}

// removeTarget stops a target, cuts its link and deletes its registration.
func (e *Environment) removeTarget(t *backend.Target) {
	e.mu.Lock()
	e.removed[t.Name] = true
	e.mu.Unlock()
	t.Stop()
	e.targetLink(t).Cut()
	e.Store.Put("servers", t.Name, nil)
}

// targetLink returns the link from the entries to the target.
func (e *Environment) targetLink(t *backend.Target) *link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.targetLinks[t.Name]
}

// ActiveTargets returns the targets of the service that are neither leaving nor removed.
func (e *Environment) ActiveTargets(service string) []*backend.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*backend.Target
	for name, t := range e.targets {
		if _, leaving := e.leavingSince[name]; t.Service == service && !leaving && !e.removed[name] {
			list = append(list, t)
		}
	}
	return list
}

// renewRegistrations renews the registrations of all active targets until the context ends.
func (e *Environment) renewRegistrations(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(registrationInterval)
		for _, service := range []string{"lookups", "fees"} {
			for _, t := range e.ActiveTargets(service) {
				e.Store.Renew("servers", t.Name, t.Registration())
			}
		}
	}
}
