package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/catalog"
	"poplarworks/core/configuration"
	"poplarworks/core/record"
	"poplarworks/core/registry"
	"poplarworks/core/service"
	"poplarworks/entry/common"
)

const (
	firstRetry   = 250 * time.Millisecond
	longestRetry = time.Second
	returnGrace  = 2200 * time.Millisecond // registrations that lapsed in an outage are back two seconds after it
	outageAfter  = 1500 * time.Millisecond // without an answer, the store counts as having been away
	graceTick    = 250 * time.Millisecond
)

// Keeper holds the configuration and the targets; its exported fields are set before Run.
type Keeper struct {
	*common.Common
	Source     Source
	PollEvery  time.Duration            // between looks at the targets
	WaitConfig time.Duration            // for which one call waits for a new configuration
	Changed    func(c *catalog.Catalog) // called after each change, one call at a time
	Fill       func(s *service.Service) // completes a service that the configuration names
	current    atomic.Pointer[catalog.Catalog]

	mu       sync.Mutex
	config   *configuration.Configuration
	targets  registry.Registry
	listed   bool
	heardAt  time.Time
	revision uint64
}

// Catalog returns the records in force, which must not be changed.
func (k *Keeper) Catalog() *catalog.Catalog {
	if c := k.current.Load(); c != nil {
		return c
	}
	return &catalog.Catalog{}
}

// Ready reports whether configuration and targets are known.
func (k *Keeper) Ready() bool {
	return k.current.Load() != nil
}

// Revision returns the operator's number of the configuration in force.
func (k *Keeper) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config == nil {
		return 0
	}
	return k.config.Number
}

// Run follows the store until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.targets.ReturnGrace = returnGrace
	k.mu.Unlock()
	go k.followConfiguration(ctx)
	go k.endGrace(ctx)
	k.followTargets(ctx)
}

func (k *Keeper) followConfiguration(ctx context.Context) {
	after, known := uint64(0), false
	retry := backoff{}
	for ctx.Err() == nil {
		var c *configuration.Configuration
		var version uint64
		var err error
		if known {
			c, version, err = k.Source.NextConfiguration(ctx, after, k.WaitConfig)
		} else {
			c, version, err = k.Source.Configuration(ctx)
		}
		if err != nil {
			known = known && !errors.Is(err, ErrForgotten)
			k.failed("configuration", err)
			retry.pause(ctx)
			continue
		}
		retry.reset()
		k.heard()
		known, after = true, max(after, version)
		if c != nil {
			k.Configure(c)
		}
	}
}

func (k *Keeper) followTargets(ctx context.Context) {
	retry := backoff{}
	for ctx.Err() == nil {
		if err := k.lookAtTargets(ctx); err != nil {
			k.failed("targets", err)
			retry.pause(ctx)
			continue
		}
		retry.reset()
		sleep(ctx, k.PollEvery)
	}
}

func (k *Keeper) lookAtTargets(ctx context.Context) error {
	k.mu.Lock()
	listed, after := k.listed, k.targets.Version()
	k.mu.Unlock()
	if listed {
		changes, version, err := k.Source.Changes(ctx, after)
		if err == nil {
			k.heard()
			k.update(func(now time.Time) { k.targets.Apply(now, changes, version) })
			return nil
		}
		if !errors.Is(err, ErrForgotten) {
			return err
		}
		k.Log("discovery").WithField("after", after).Warn("The store has dropped its history; the targets are listed anew.")
	}
	listing, version, err := k.Source.Targets(ctx)
	if err != nil {
		return err
	}
	k.heard()
	k.update(func(now time.Time) {
		k.targets.Replace(now, listing, version)
		k.listed = true
	})
	return nil
}

// heard notes an answer of the store; after a long silence, registrations that lapsed meanwhile get time to come back.
func (k *Keeper) heard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if !k.heardAt.IsZero() && now.Sub(k.heardAt) > k.PollEvery+outageAfter {
		k.targets.Returned(now)
		k.Log("discovery").WithField("silent", now.Sub(k.heardAt)).Info("The store answers again.")
	}
	k.heardAt = now
}

func (k *Keeper) failed(what string, err error) {
	k.Counter("discovery.failures").Inc(1)
	k.Log("discovery").WithError(err).WithField("what", what).Warn("The store cannot be read.")
}

// Configure puts a configuration in force if it is newer than the one held.
func (k *Keeper) Configure(c *configuration.Configuration) {
	k.update(func(time.Time) {
		if k.config != nil && (c.Revision <= k.config.Revision || c.Number <= k.config.Number) {
			return
		}
		k.config = c
		k.Log("discovery").WithField("number", c.Number).WithField("revision", c.Revision).
			WithField("rules", len(c.Rules)).Info("A configuration is in force.")
	})
}

// endGrace drops registrations whose grace is over.
func (k *Keeper) endGrace(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, graceTick)
		k.mu.Lock()
		expiring := k.targets.Expiring(k.Now().Add(-2 * graceTick))
		k.mu.Unlock()
		if expiring {
			k.update(func(time.Time) {})
		}
	}
}

// update changes the state and puts it in force, one change at a time.
func (k *Keeper) update(change func(now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	change(now)
	if k.config == nil || !k.listed {
		return
	}
	k.revision++
	c := k.build(now)
	k.current.Store(c)
	k.Changed(c)
}

// build is called with the lock held.
func (k *Keeper) build(now time.Time) *catalog.Catalog {
	targets := k.targets.Services(now)
	records := make([]record.Record, 0, len(k.config.Rules)+len(k.config.Services))
	for i := range k.config.Rules {
		r := &k.config.Rules[i]
		records = append(records, record.Record{Key: record.Key{Kind: record.KindRule, Name: r.Name}, Revision: k.config.Revision, Rule: r})
	}
	for _, s := range k.config.Services {
		s.Targets = targets[s.Name]
		s.Slots = k.targets.Slots(s.Name)
		k.Fill(&s)
		records = append(records, record.Record{Key: record.Key{Kind: record.KindService, Name: s.Name}, Revision: k.revision, Service: &s})
	}
	return catalog.Of(records)
}

// backoff spaces repeated attempts.
type backoff struct {
	wait time.Duration
}

func (b *backoff) reset() { b.wait = 0 }

func (b *backoff) pause(ctx context.Context) {
	b.wait = min(longestRetry, max(firstRetry, 2*b.wait))
	sleep(ctx, time.Duration(float64(b.wait)*(0.75+rand.Float64()/2)))
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
