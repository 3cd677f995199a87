package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/breaker"
	"poplarworks/core/bucket"
	"poplarworks/core/limits"
	"poplarworks/entry/common"
	"poplarworks/entry/table"
)

const (
	breakerThreshold = 3                      // consecutive failures that open the breaker
	initialProbeWait = 250 * time.Millisecond // from the opening of the breaker to its first trial call
	maxProbeWait     = 2 * time.Second
)

// ErrUnavailable means that the call was not made, because the service is down or the budget is exhausted.
var ErrUnavailable = errors.New("the table service is down")

type client interface {
	Get(ctx context.Context, keys []string) ([]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error)
}

// Store limits the rate of calls to the table service and stops them while it is down. Its exported fields must be set
// before use.
type Store struct {
	*common.Common
	Client client

	mu      sync.Mutex
	breaker *breaker.Breaker
	reads   bucket.Bucket
	writes  bucket.Bucket
}

// SetLimits sets this entry's share of the budget, which is divided evenly among the maximum number of entries.
func (s *Store) SetLimits(l limits.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, writes := float64(l.ReadsPerSecond)/float64(l.MaxEntries), float64(l.WritesPerSecond)/float64(l.MaxEntries)
	s.reads.PerSecond, s.reads.Burst = reads, reads
	s.writes.PerSecond, s.writes.Burst = writes, writes
}

// Get returns one row for each key, in order.
func (s *Store) Get(ctx context.Context, keys ...string) ([]table.Row, error) {
	return guard(ctx, s, &s.reads, "store.reads", func(ctx context.Context) ([]table.Row, error) {
		return s.Client.Get(ctx, keys)
	})
}

// Scan returns at most limit rows whose keys have the prefix and sort after the given key.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return guard(ctx, s, &s.reads, "store.reads", func(ctx context.Context) ([]table.Row, error) {
		return s.Client.Scan(ctx, prefix, after, limit)
	})
}

// Transact applies all writes if every condition holds; otherwise it returns the rows that differ. After an error other
// than ErrUnavailable it is unknown whether the transaction took effect.
func (s *Store) Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error) {
	return guard(ctx, s, &s.writes, "store.writes", func(ctx context.Context) ([]table.Row, error) {
		return s.Client.Transact(ctx, conditions, writes)
	})
}

// Unavailable reports whether the breaker is open, so that calls fail at once.
func (s *Store) Unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker != nil && s.breaker.Open()
}

// guard makes a call once it is admitted, and records its latency and result.
func guard(
	ctx context.Context,
	s *Store,
	tokens *bucket.Bucket,
	counter string,
	call func(context.Context) ([]table.Row, error),
) ([]table.Row, error) {
	if err := s.admit(ctx, tokens); err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, s.Settings.PlatformTimeout)
	defer cancel()
	s.Counter(counter).Inc(1)
	start := s.Now()
	rows, err := call(callCtx)
	s.Histogram(counter + ".us").Update(s.Now().Sub(start).Microseconds())
	s.recordResult(ctx, err)
	return rows, err
}

// admit waits for a token of the budget. It fails with ErrUnavailable if the breaker is open, or if no token
// becomes available before the context ends.
func (s *Store) admit(ctx context.Context, tokens *bucket.Bucket) error {
	for {
		wait, err := s.tryAdmit(tokens)
		if err != nil || wait == 0 {
			return err
		}
		if deadline, ok := ctx.Deadline(); ok && s.Now().Add(wait).After(deadline) {
			s.Counter("store.budget-spent").Inc(1)
			return ErrUnavailable
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ErrUnavailable
		case <-timer.C:
		}
	}
}

// tryAdmit returns the wait until the next token, or zero if the call is admitted.
func (s *Store) tryAdmit(tokens *bucket.Bucket) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaker == nil {
		s.breaker = &breaker.Breaker{
			Threshold:   breakerThreshold,
			InitialWait: initialProbeWait,
			MaxWait:     maxProbeWait,
			Random:      rand.New(rand.NewPCG(s.Incarnation, rand.Uint64())),
		}
	}
	now := s.Now()
	wait, ok := tokens.Take(now)
	if !ok {
		return wait, nil
	}
	if !s.breaker.Allow(now) {
		return 0, ErrUnavailable
	}
	return 0, nil
}

// recordResult updates the breaker with the result of a call.
func (s *Store) recordResult(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOpen := s.breaker.Open()
	if err == nil {
		s.breaker.Success()
	} else {
		// A call cancelled by its caller is no failure of the service. The trial call of an open breaker is recorded
		// all the same, since the breaker allows no other call until it has a result.
		if ctx.Err() == nil || wasOpen {
			s.breaker.Failure(s.Now())
		}
		s.Counter("store.failures").Inc(1)
	}
	if open := s.breaker.Open(); open != wasOpen {
		s.Log("store").WithField("open", open).Warn("The circuit breaker of the table service changed state.")
	}
}
