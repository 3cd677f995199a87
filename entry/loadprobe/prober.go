package loadprobe

import (
	"context"
	"sync"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/loadprobebudget"
	"poplarworks/core/ratelimit"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/entry/common"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/probe"
	"poplarworks/entry/relay"
)

const (
	maxReportWait  = 15 * time.Millisecond  // choosing by the reports at hand is better than a longer wait for the rest
	maxQueueProbes = 2                      // targets probed at a time while requests are queued
	probeTimeout   = 300 * time.Millisecond // a target that does not report its load within this time counts as unreachable
)

type loadClient interface {
	ProbeLoad(ctx context.Context, s *service.Service, t service.Target) (relay.ResponseMetadata, error)
}

// Prober probes targets for their load. Its exported fields must be set before use.
type Prober struct {
	*common.Common
	Probes loadClient

	mu     sync.Mutex
	budget loadprobebudget.Budget
}

// SetProbeRate sets how many probes this entry may send in a second. Zero means no limit.
func (p *Prober) SetProbeRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.SetRate(p.Now(), perSecond)
}

// takeBudget takes up to limit probes from the budget and returns how many were granted.
func (p *Prober) takeBudget(limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Take(p.Now(), limit)
}

// ProbeCandidates probes some candidate targets for the request and returns when all have responded, when
// maxReportWait is over or when the context ends.
func (p *Prober) ProbeCandidates(ctx context.Context, s *dispatch.Service, r request.Request) {
	chosen := p.chooseTargets(s, r, s.Record().LoadProbes)
	reported := make(chan bool, len(chosen))
	for _, t := range chosen {
		go func() { reported <- p.sendProbe(ctx, s, t) }()
	}
	timer := time.NewTimer(maxReportWait)
	defer timer.Stop()
	reports := 0
	for range chosen {
		select {
		case ok := <-reported:
			if ok {
				reports++
			}
		case <-timer.C:
			if reports > 0 {
				return
			}
			p.Counter("asker.late").Inc(1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// chooseTargets returns up to limit targets to probe, as far as the probe budget allows.
func (p *Prober) chooseTargets(s *dispatch.Service, r request.Request, limit int) []service.Target {
	var chosen []service.Target
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) {
		if b.ShouldProbe(now) {
			chosen = b.ProbeCandidates(now, r, p.takeBudget(limit))
		}
	})
	return chosen
}

// ProbeForQueue probes some targets while requests are queued. It does not wait for their reports.
func (p *Prober) ProbeForQueue(s *dispatch.Service) {
	for _, t := range p.chooseTargets(s, request.Request{Rule: &rule.Rule{}}, maxQueueProbes) {
		go p.sendProbe(context.Background(), s, t)
	}
}

// sendProbe sends one probe and reports whether the target has reported its load. The probe outlives the request, so
// that a late report still updates the balancer.
func (p *Prober) sendProbe(ctx context.Context, s *dispatch.Service, t service.Target) bool {
	probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	start := p.Now()
	metadata, err := p.Probes.ProbeLoad(probeCtx, s.Record(), t)
	p.Counter("probes.sent").Inc(1)
	p.Histogram("probes.us").Update(p.Now().Sub(start).Microseconds())
	if err == nil || probe.IsTargetResponse(err) {
		p.recordRateLimit(s, t.Name, metadata.RateLimit)
	}
	if err != nil {
		p.Counter("probes.failed").Inc(1)
		if probe.IsHealthyWithoutLoad(err) {
			s.ApplyReport(func(b *balancer.Balancer, now time.Time) { b.RecordHealthyWithoutLoad(now, t.Name) })
		}
		if !probe.IsTargetResponse(err) {
			s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.RecordProbeFailure(now, t.Name) })
		}
		return false
	}
	s.ApplyReport(func(b *balancer.Balancer, now time.Time) {
		b.RecordProbe(now, t.Name, metadata.LoadReport, metadata.Draining || metadata.AddressReassigned)
	})
	return true
}

// recordRateLimit passes on the rate limit that a target named in its response to a probe.
func (p *Prober) recordRateLimit(s *dispatch.Service, target string, l ratelimit.Limit) {
	changed, sharers, position := false, 0, 0.0
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) {
		if changed = b.RecordRateLimit(now, target, l); changed {
			sharers, position = b.RateSharers(target)
		}
	})
	if !changed {
		return
	}
	log := p.Log("probes").WithField("service", s.Record().Name).WithField("target", target)
	if l.Named {
		p.Counter("rate-limits.named").Inc(1)
		log.WithField("per-second", l.PerSecond).WithField("sharers", sharers).WithField("position", position).Info("A target limits its request rate.")
		return
	}
	p.Counter("rate-limits.ended").Inc(1)
	log.Info("A target no longer limits its request rate.")
}
