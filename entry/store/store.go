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
	breakerThreshold = 3
	firstLook        = 250 * time.Millisecond
	longestLook      = 2 * time.Second
)

// ErrDown says that the call was not made, since the service is down or the budget is spent.
var ErrDown = errors.New("the table service is down")

type client interface {
	Get(ctx context.Context, keys []string) ([]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error)
}

// Store guards the table service; its exported fields are set before use.
type Store struct {
	*common.Common
	Client client

	mu      sync.Mutex
	breaker *breaker.Breaker
	reads   bucket.Bucket
	writes  bucket.Bucket
}

// Limit sets this entry's share of the budget.
func (s *Store) Limit(l limits.Limits) {
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

// Scan returns at most limit rows whose keys have the prefix and come after the key given.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return guard(ctx, s, &s.reads, "store.reads", func(ctx context.Context) ([]table.Row, error) {
		return s.Client.Scan(ctx, prefix, after, limit)
	})
}

// Transact applies all writes if every condition holds, and else returns the rows that differ; after an error other than
// ErrDown nobody knows whether the transaction took effect.
func (s *Store) Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error) {
	return guard(ctx, s, &s.writes, "store.writes", func(ctx context.Context) ([]table.Row, error) {
		return s.Client.Transact(ctx, conditions, writes)
	})
}

// Down reports whether calls are refused at present.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker != nil && s.breaker.Open()
}

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
	bounded, cancel := context.WithTimeout(ctx, s.Settings.PlatformTimeout)
	defer cancel()
	s.Counter(counter).Inc(1)
	begun := s.Now()
	rows, err := call(bounded)
	s.Histogram(counter + ".us").Update(s.Now().Sub(begun).Microseconds())
	s.settle(ctx, err)
	return rows, err
}

// admit waits for a token while the context lasts.
func (s *Store) admit(ctx context.Context, tokens *bucket.Bucket) error {
	for {
		wait, err := s.tryAdmit(tokens)
		if err != nil || wait == 0 {
			return err
		}
		if deadline, ok := ctx.Deadline(); ok && s.Now().Add(wait).After(deadline) {
			s.Counter("store.budget-spent").Inc(1)
			return ErrDown
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ErrDown
		case <-timer.C:
		}
	}
}

func (s *Store) tryAdmit(tokens *bucket.Bucket) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaker == nil {
		s.breaker = &breaker.Breaker{
			Threshold: breakerThreshold,
			First:     firstLook,
			Longest:   longestLook,
			Random:    rand.New(rand.NewPCG(s.Incarnation, rand.Uint64())),
		}
	}
	now := s.Now()
	wait, ok := tokens.Take(now)
	if !ok {
		return wait, nil
	}
	if !s.breaker.Allow(now) {
		return 0, ErrDown
	}
	return 0, nil
}

func (s *Store) settle(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOpen := s.breaker.Open()
	if err == nil {
		s.breaker.Success()
	} else {
		// A caller that left says nothing of the service, but a look that ends must free the way for the next.
		if ctx.Err() == nil || wasOpen {
			s.breaker.Failure(s.Now())
		}
		s.Counter("store.failures").Inc(1)
	}
	if open := s.breaker.Open(); open != wasOpen {
		s.Log("store").WithField("open", open).Warn("The breaker changed.")
	}
}
