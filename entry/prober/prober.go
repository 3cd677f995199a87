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
	interval     = 5 * time.Millisecond
	restInterval = 50 * time.Millisecond  // while no service is probed
	idlePeriod   = 250 * time.Millisecond // between looks at a service without probes
	probeTimeout = 500 * time.Millisecond
)

type services interface {
	All() map[string]*dispatch.Service
	Stalls() int
}

type client interface {
	Load(ctx context.Context, s *service.Service, t service.Target) (relay.Signs, error)
}

// Prober probes the targets of all services; its exported fields are set before Run.
type Prober struct {
	*common.Common
	Services services
	Probes   client

	dueAt map[string]time.Time // by service, so that a service is looked at only as often as its share allows
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.dueAt = map[string]time.Time{}
	stalls := 0
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if count := p.Services.Stalls(); count > stalls {
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
		timer.Reset(p.pause())
	}
}

// pause is short only while some service is probed.
func (p *Prober) pause() time.Duration {
	for _, s := range p.Services.All() {
		if s.Record().ProbesPerEntry() > 0 {
			return interval
		}
	}
	return restInterval
}

// period spreads the probes of a service evenly over the budget's window.
func period(s *dispatch.Service) time.Duration {
	record := s.Record()
	probes := record.ProbesPerEntry() * len(record.Targets)
	if probes == 0 {
		return idlePeriod
	}
	return min(idlePeriod, max(interval, probebudget.Window/time.Duration(probes)))
}

func (p *Prober) probeDue(ctx context.Context, s *dispatch.Service) {
	if s.Record().ProbesPerEntry() == 0 {
		return
	}
	var name string
	var address netip.AddrPort
	var due bool
	s.Do(func(b *balancer.Balancer, now time.Time) { name, address, due = b.ProbeDue(now) })
	if !due {
		return
	}
	go p.probe(ctx, s, name, address)
}

// probeAll looks at every target after a pause: one may have begun to leave, and the peers' notice may be lost.
func (p *Prober) probeAll(ctx context.Context) {
	for _, s := range p.Services.All() {
		var due map[string]netip.AddrPort
		s.Do(func(b *balancer.Balancer, now time.Time) { due = b.ProbeAll(now) })
		for name, address := range due {
			go p.probe(ctx, s, name, address)
		}
	}
}

func (p *Prober) probe(ctx context.Context, s *dispatch.Service, name string, address netip.AddrPort) {
	p.Counter("probes.sent").Inc(1)
	signs, err := p.ask(ctx, s, name, address)
	if err != nil {
		p.Counter("probes.failed").Inc(1)
		return
	}
	s.Do(func(b *balancer.Balancer, now time.Time) { b.Probed(now, name, signs.Report, signs.Draining) })
}

// checkLeaving looks at a target that is leaving: a new incarnation may have come up there.
func (p *Prober) checkLeaving(ctx context.Context, s *dispatch.Service) {
	var name string
	var address netip.AddrPort
	var probe, due bool
	s.Do(func(b *balancer.Balancer, now time.Time) { name, address, probe, due = b.CheckDue(now) })
	if !due {
		return
	}
	go func() {
		staying := false
		reachable := reach.Dial(ctx, address, probeTimeout)
		if reachable && probe {
			signs, err := p.ask(ctx, s, name, address)
			staying = err == nil && !signs.Draining
		}
		s.Do(func(b *balancer.Balancer, now time.Time) { b.Checked(now, name, reachable, staying) })
	}()
}

func (p *Prober) ask(ctx context.Context, s *dispatch.Service, name string, address netip.AddrPort) (relay.Signs, error) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.Probes.Load(bounded, s.Record(), service.Target{Name: name, Address: address})
}
