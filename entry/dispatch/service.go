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
	pollInterval = time.Millisecond
	tickInterval = 250 * time.Millisecond
	reaskEvery   = 20 * time.Millisecond // while requests wait
	askedPoll    = 4 * time.Millisecond  // between polls of a service whose targets are asked, besides those at each end and report
)

// Service serialises the decisions of one service; it is safe for concurrent use.
type Service struct {
	*common.Common

	stall    *stallGuard
	mu       sync.Mutex
	balancer *balancer.Balancer
	waiters  map[uint64]chan decision.Decision
	wake     chan struct{}
	reask    func(s *Service) // asks some targets for their load while requests wait; nil if none are asked
	askedAt  time.Time
	record   atomic.Pointer[service.Service]
	changed  chan struct{} // signalled when a long request starts or ends, at any service
	long     int           // long requests in flight when last looked
}

// noteLong is called with the lock held, after anything that may start or end a long request.
func (s *Service) noteLong() {
	if held := s.balancer.Long(); held != s.long {
		s.long = held
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// Record returns the record in force.
func (s *Service) Record() *service.Service {
	return s.record.Load()
}

// configure puts a record in force.
func (s *Service) configure(record service.Service) {
	s.record.Store(&record)
	s.Do(func(b *balancer.Balancer, now time.Time) { b.Configure(now, record) })
}

// Submit returns the decision to send or to refuse, after a wait if need be.
func (s *Service) Submit(ctx context.Context, r request.Request) decision.Decision {
	s.stall.wait(ctx, s.Now)
	s.mu.Lock()
	d := s.balancer.Submit(s.Now(), r)
	s.noteLong()
	return s.await(ctx, d)
}

// Retry returns the decision to send elsewhere after an attempt that has ended, or false.
func (s *Service) Retry(ctx context.Context, r request.Request, last outcome.Outcome) (decision.Decision, bool) {
	s.mu.Lock()
	d, ok := s.balancer.Retry(s.Now(), r, last)
	if !ok {
		s.mu.Unlock()
		return d, false
	}
	s.noteLong()
	d = s.await(ctx, d)
	return d, d.Kind == decision.Send
}

// await is called with the lock held, which it releases.
func (s *Service) await(ctx context.Context, d decision.Decision) decision.Decision {
	if d.Kind != decision.Wait {
		s.mu.Unlock()
		return d
	}
	decided := make(chan decision.Decision, 1)
	s.waiters[d.ID] = decided
	s.mu.Unlock()
	s.poke()
	select {
	case d = <-decided:
		return d
	case <-ctx.Done():
		return s.withdraw(d.ID, decided)
	}
}

// withdraw leaves the queue; a decision to send that came at the same moment is taken, and the caller ends it.
func (s *Service) withdraw(id uint64, decided chan decision.Decision) decision.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.Withdraw(id) {
		delete(s.waiters, id)
		return decision.Decision{ID: id, Kind: decision.Wait}
	}
	return <-decided
}

func (s *Service) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Finish takes the end of an attempt, and sends a request that waits in its place.
func (s *Service) Finish(id uint64, o outcome.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Finish(s.Now(), id, o)
	s.poll()
	s.noteLong()
}

func (s *Service) poll() {
	if s.balancer.Waiting() == 0 {
		return
	}
	for _, d := range s.balancer.Poll(s.Now()) {
		decided := s.waiters[d.ID]
		delete(s.waiters, d.ID)
		decided <- d
	}
	s.noteLong()
}

// Confirm reports whether the request may still be sent to the target that it was given.
func (s *Service) Confirm(ctx context.Context, id uint64) bool {
	s.stall.wait(ctx, s.Now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Confirm(id)
}

// HedgeAfter returns how long to wait for the answer to an attempt before a second one, and whether to hedge at all.
func (s *Service) HedgeAfter(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.HedgeAfter(s.Now(), id)
}

// Hedge returns a second target, if one is free at once and the budget allows it.
func (s *Service) Hedge(r request.Request) (decision.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Hedge(s.Now(), r)
}

// Reported takes a target's report, which may have room for a request that waits.
func (s *Service) Reported(call func(b *balancer.Balancer, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call(s.balancer, s.Now())
	s.poll()
}

// Do calls the function with the balancer locked.
func (s *Service) Do(call func(b *balancer.Balancer, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call(s.balancer, s.Now())
}

// run polls while requests wait, and moves the lifecycles; once the context has ended it stays until none waits.
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
			s.Do(func(b *balancer.Balancer, now time.Time) { b.Tick(now) })
		}
		if s.step() {
			timer.Reset(s.pollInterval())
			s.askAgain()
		} else if ended {
			return
		}
	}
}

func (s *Service) pollInterval() time.Duration {
	if s.Record().Asked > 0 {
		return askedPoll
	}
	return pollInterval
}

// askAgain is called by the one goroutine that polls.
func (s *Service) askAgain() {
	now := s.Now()
	if s.reask == nil || s.Record().Asked == 0 || now.Sub(s.askedAt) < reaskEvery {
		return
	}
	s.askedAt = now
	s.reask(s)
}

// step polls, and reports whether requests still wait.
func (s *Service) step() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poll()
	return s.balancer.Waiting() > 0
}
