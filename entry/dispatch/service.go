package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/request"
	"poplarworks/core/service"
	"poplarworks/entry/common"
)

const (
	pollInterval  = time.Millisecond // while requests wait
	tickInterval  = 250 * time.Millisecond
	probeInterval = 20 * time.Millisecond // while requests wait
	// Services that probe their targets are polled less often, since each report and each finished request polls as
	// well.
	probedPollInterval = 4 * time.Millisecond
)

// Service serialises the decisions of one service; it is safe for concurrent use.
type Service struct {
	*common.Common

	pauses   *pauseGuard
	mu       sync.Mutex
	balancer *balancer.Balancer
	waiters  map[uint64]chan decision.Decision
	wake     chan struct{}
	probe    func(s *Service) // probes the load of some targets while requests wait; may be nil
	probedAt time.Time
	record   atomic.Pointer[service.Service]
	changed  chan struct{} // signalled when a long request starts or ends, shared by all services
	long     int           // long requests in flight at the last check
}

// signalLongChange signals a change in the number of long requests in flight. It is called with the lock held, after
// anything that may start or end a long request.
func (s *Service) signalLongChange() {
	if inFlight := s.balancer.LongInFlight(); inFlight != s.long {
		s.long = inFlight
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// Record returns the current record of the service.
func (s *Service) Record() *service.Service {
	return s.record.Load()
}

// configure applies a new record.
func (s *Service) configure(record service.Service) {
	s.record.Store(&record)
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.Configure(now, record) })
}

// Submit returns the decision to send or to refuse. If no target has free capacity, it waits in the queue; if the
// context ends first, the decision is Wait.
func (s *Service) Submit(ctx context.Context, r request.Request) decision.Decision {
	s.pauses.wait(ctx, s.Now)
	s.mu.Lock()
	d := s.balancer.Submit(s.Now(), r)
	s.signalLongChange()
	return s.await(ctx, d)
}

// Retry returns the decision to send to another target after an attempt that has ended, or false.
func (s *Service) Retry(ctx context.Context, r request.Request, last outcome.Outcome) (decision.Decision, bool) {
	s.mu.Lock()
	d, ok := s.balancer.Retry(s.Now(), r, last)
	if !ok {
		s.mu.Unlock()
		return d, false
	}
	s.signalLongChange()
	d = s.await(ctx, d)
	return d, d.Kind == decision.Send
}

// await waits for the decision of a queued request. It is called with the lock held and releases it.
func (s *Service) await(ctx context.Context, d decision.Decision) decision.Decision {
	if d.Kind != decision.Wait {
		s.mu.Unlock()
		return d
	}
	decided := make(chan decision.Decision, 1)
	s.waiters[d.ID] = decided
	s.mu.Unlock()
	s.wakePoller()
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
		return s.withdraw(d.ID, decided)
	}
}

// withdraw removes the request from the queue. If it was decided at the same moment, that decision is returned, and the
// caller has to finish it.
func (s *Service) withdraw(id uint64, decided chan decision.Decision) decision.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.Withdraw(id) {
		delete(s.waiters, id)
		return decision.Decision{ID: id, Kind: decision.Wait}
	}
	return <-decided
}

// wakePoller starts the polling that goes on as long as requests wait.
func (s *Service) wakePoller() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Finish records the end of an attempt, and decides requests that wait for the capacity it frees.
func (s *Service) Finish(id uint64, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finish(s.Now(), id, o)
	s.poll()
	s.signalLongChange()
}

// poll hands the decisions that are due to the requests that wait. It is called with the lock held.
func (s *Service) poll() {
	if s.balancer.Waiting() == 0 {
		return
	}
	for _, d := range s.balancer.Poll(s.Now()) {
		decided := s.waiters[d.ID]
		delete(s.waiters, d.ID)
		decided <- d
	}
	s.signalLongChange()
}

// StillAcceptsWork reports whether the request may still be sent to its target. After a pause of the process it first
// waits until the view of the targets is current again.
func (s *Service) StillAcceptsWork(ctx context.Context, id uint64) bool {
	s.pauses.wait(ctx, s.Now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.StillAcceptsWork(id)
}

// HedgeAfter returns how long to wait for an answer before a second attempt is made, and whether to hedge at all.
func (s *Service) HedgeAfter(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.HedgeAfter(s.Now(), id)
}

// Hedge returns a second target if one has free capacity now and the hedge budget allows it.
func (s *Service) Hedge(r request.Request) (decision.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Hedge(s.Now(), r)
}

// ApplyReport applies a target's load report and then polls, since the report may show free capacity for a request that
// waits.
func (s *Service) ApplyReport(call func(b *balancer.Balancer, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call(s.balancer, s.Now())
	s.poll()
}

// WithBalancer calls the function while the balancer is locked.
func (s *Service) WithBalancer(call func(b *balancer.Balancer, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call(s.balancer, s.Now())
}

// run polls while requests wait, and ticks the balancer, which drives the lifecycles of targets. Once the context has
// ended, it returns as soon as no request waits.
func (s *Service) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ended := false
	for {
		select {
		case <-ctx.Done():
			ended = true
			time.Sleep(pollInterval)
		case <-s.wake:
		case <-timer.C:
		case <-tick.C:
			s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.Tick(now) })
		}
		if s.pollOnce() {
			timer.Reset(s.pollDelay())
			s.probeIfDue()
		} else if ended {
			return
		}
	}
}

// pollDelay returns the time until the next poll while requests wait.
func (s *Service) pollDelay() time.Duration {
	if s.Record().LoadProbes > 0 {
		return probedPollInterval
	}
	return pollInterval
}

// probeIfDue probes targets for the requests that wait. Only the goroutine of run may call it, since probedAt has no
// lock.
func (s *Service) probeIfDue() {
	now := s.Now()
	if s.probe == nil || s.Record().LoadProbes == 0 || now.Sub(s.probedAt) < probeInterval {
		return
	}
	s.probedAt = now
	s.probe(s)
}

// pollOnce takes the lock, polls, and reports whether requests still wait.
func (s *Service) pollOnce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll()
	return s.balancer.Waiting() > 0
}
