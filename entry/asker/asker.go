package asker

import (
	"context"
	"sync"
	"time"

	"poplarworks/core/askbudget"
	"poplarworks/core/balancer"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/entry/common"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/probe"
	"poplarworks/entry/relay"
)

const (
	longestWait  = 15 * time.Millisecond  // a choice among reports that have come beats waiting longer for the rest
	askedAgain   = 2                      // targets asked at a time while requests wait
	probeTimeout = 300 * time.Millisecond // a target that does not report its load within this time counts as failed
)

type prober interface {
	Load(ctx context.Context, s *service.Service, t service.Target) (relay.Signs, error)
}

// Asker asks targets; its exported fields are set before use.
type Asker struct {
	*common.Common
	Probes prober

	mu     sync.Mutex
	budget askbudget.Budget
}

// Limit sets how many targets this entry may ask in a second; zero is no bound.
func (a *Asker) Limit(perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Limit(a.Now(), perSecond)
}

func (a *Asker) take(most int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget.Take(a.Now(), most)
}

// Ask returns when the targets drawn for the request have reported their load, or after a short wait.
func (a *Asker) Ask(ctx context.Context, s *dispatch.Service, r request.Request) {
	drawn := a.draw(s, r, s.Record().Asked)
	reported := make(chan bool, len(drawn))
	for _, t := range drawn {
		go func() { reported <- a.ask(ctx, s, t) }()
	}
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	heard := 0
	for range drawn {
		select {
		case ok := <-reported:
			if ok {
				heard++
			}
		case <-timer.C:
			if heard > 0 {
				return
			}
			a.Counter("asker.late").Inc(1)
			return
		case <-ctx.Done():
			return
		}
	}
}

// draw names the targets to ask, as far as the budget goes.
func (a *Asker) draw(s *dispatch.Service, r request.Request, most int) []service.Target {
	var drawn []service.Target
	s.Do(func(b *balancer.Balancer, now time.Time) {
		if b.WorthAsking(now) {
			drawn = b.Candidates(now, r, a.take(most))
		}
	})
	return drawn
}

// Again asks some targets while requests wait, and does not wait for their reports.
func (a *Asker) Again(s *dispatch.Service) {
	for _, t := range a.draw(s, request.Request{Rule: &rule.Rule{}}, askedAgain) {
		go a.ask(context.Background(), s, t)
	}
}

// ask reports whether the target has reported its load.
func (a *Asker) ask(ctx context.Context, s *dispatch.Service, t service.Target) bool {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	begun := a.Now()
	signs, err := a.Probes.Load(bounded, s.Record(), t)
	a.Counter("probes.sent").Inc(1)
	a.Histogram("probes.us").Update(a.Now().Sub(begun).Microseconds())
	if err != nil {
		a.Counter("probes.failed").Inc(1)
		if probe.Mute(err) {
			s.Reported(func(b *balancer.Balancer, now time.Time) { b.Mute(now, t.Name) })
		}
		if !probe.Unwell(err) {
			s.Do(func(b *balancer.Balancer, now time.Time) { b.Unreachable(now, t.Name) })
		}
		return false
	}
	s.Reported(func(b *balancer.Balancer, now time.Time) {
		b.Probed(now, t.Name, signs.Report, signs.Draining || signs.Elsewhere)
	})
	return true
}
