package prober

import (
	"context"
	"net/netip"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/probebudget"
	"poplarworks/core/service"
	"poplarworks/entry/common"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/reach"
	"poplarworks/entry/relay"
)

const (
	activeInterval = 5 * time.Millisecond
	idleInterval   = 50 * time.Millisecond  // applies while no service is probed
	maxPeriod      = 250 * time.Millisecond // longest interval between checks of a service; applies to services without probes
	probeTimeout   = 500 * time.Millisecond
)

type services interface {
	All() map[string]*dispatch.Service
	PauseCount() int
}

type client interface {
	ProbeLoad(ctx context.Context, s *service.Service, t service.Target) (relay.ResponseMetadata, error)
}

// Prober probes the targets of all services. Its exported fields must be set before Run.
type Prober struct {
	*common.Common
	Services services
	Probes   client

	dueAt map[string]time.Time // by service; limits how often a service is checked to what its probe budget allows
}

// Run probes targets until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.dueAt = map[string]time.Time{}
	stalls := 0
	timer := time.NewTimer(activeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if count := p.Services.PauseCount(); count > stalls {
			stalls = count
			p.probeAll(ctx)
		}
		now := p.Now()
		for name, s := range p.Services.All() {
			if now.Before(p.dueAt[name]) {
				continue
			}
			p.dueAt[name] = now.Add(period(s))
			p.probeDue(ctx, s)
			p.checkLeaving(ctx, s)
		}
		timer.Reset(p.nextInterval())
	}
}

// nextInterval returns the short interval only if some service is probed.
func (p *Prober) nextInterval() time.Duration {
	for _, s := range p.Services.All() {
		if s.Record().ProbesPerEntry() > 0 {
			return activeInterval
		}
	}
	return idleInterval
}

// period returns the interval between checks of a service. It spreads the probes evenly over the budget's window.
func period(s *dispatch.Service) time.Duration {
	record := s.Record()
	probes := record.ProbesPerEntry() * len(record.Targets)
	if probes == 0 {
		return maxPeriod
	}
	return min(maxPeriod, max(activeInterval, probebudget.Window/time.Duration(probes)))
}

func (p *Prober) probeDue(ctx context.Context, s *dispatch.Service) {
	if s.Record().ProbesPerEntry() == 0 {
		return
	}
	var name string
	var address netip.AddrPort
	var due bool
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) { name, address, due = b.NextProbe(now) })
	if !due {
		return
	}
	go p.probe(ctx, s, name, address)
}

// probeAll probes every target after this process was paused: a target may have started to leave meanwhile, and the
// peers' notice may have been lost.
func (p *Prober) probeAll(ctx context.Context) {
	for _, s := range p.Services.All() {
		var due map[string]netip.AddrPort
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) { due = b.ProbeAll(now) })
		for name, address := range due {
			go p.probe(ctx, s, name, address)
		}
	}
}

func (p *Prober) probe(ctx context.Context, s *dispatch.Service, name string, address netip.AddrPort) {
	p.Counter("probes.sent").Inc(1)
	signs, err := p.queryLoad(ctx, s, name, address)
	if err != nil {
		p.Counter("probes.failed").Inc(1)
		return
	}
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.RecordProbe(now, name, signs.LoadReport, signs.Draining) })
}

// checkLeaving checks a target that is leaving, because a new incarnation may have started at its address.
func (p *Prober) checkLeaving(ctx context.Context, s *dispatch.Service) {
	var name string
	var address netip.AddrPort
	var probe, due bool
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) { name, address, probe, due = b.NextLeavingCheck(now) })
	if !due {
		return
	}
	go func() {
		staying := false
		reachable := reach.Reachable(ctx, address, probeTimeout)
		if reachable && probe {
			signs, err := p.queryLoad(ctx, s, name, address)
			staying = err == nil && !signs.Draining
		}
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.RecordLeavingCheck(now, name, reachable, staying) })
	}()
}

func (p *Prober) queryLoad(ctx context.Context, s *dispatch.Service, name string, address netip.AddrPort) (relay.ResponseMetadata, error) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.Probes.ProbeLoad(bounded, s.Record(), service.Target{Name: name, Address: address})
}
