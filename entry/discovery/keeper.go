package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/catalog"
	"poplarworks/core/configuration"
	"poplarworks/core/entrylist"
	"poplarworks/core/news"
	"poplarworks/core/record"
	"poplarworks/core/registry"
	"poplarworks/core/service"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
)

const (
	firstRetry   = 250 * time.Millisecond
	longestRetry = 2 * time.Second         // shorter than the time after an outage in which an entry may still be behind
	unreadyRetry = 500 * time.Millisecond  // the same for an entry that cannot serve before the store answers
	returnGrace  = 2200 * time.Millisecond // registrations that lapsed in an outage are back two seconds after it
	outageAfter  = 1500 * time.Millisecond // without an answer, the store counts as having been away
	graceTick    = 250 * time.Millisecond
	ledTick      = 100 * time.Millisecond // between looks whether the leader's word is still fresh
	holdOffTick  = 20 * time.Millisecond
)

// Keeper holds the configuration and the targets; its exported fields are set before Run.
type Keeper struct {
	*common.Common
	Source     Source
	PollEvery  time.Duration // between looks at the targets
	WaitConfig time.Duration // for which one call waits for a new configuration
	PauseAfter time.Duration // between a new configuration and the next call, so that a run of changes takes few calls
	Patience   time.Duration // longest time that the word of a leader may be behind the store
	HoldOff    time.Duration // at the start, in which a leader may make reading needless
	First      func() bool   // whether this entry is known to have no leader
	Decode     func(t configuration.Text) (*configuration.Configuration, error)
	Changed    func(c *catalog.Catalog) // called after each change, one call at a time
	Fill       func(s *service.Service) // completes a service that the configuration names
	Publish    func(n news.News)        // tells followers, one call at a time

	current atomic.Pointer[catalog.Catalog]
	failing atomic.Bool                        // the last look at the targets failed, so that the configuration need not be asked for
	giveUp  atomic.Pointer[context.CancelFunc] // ends the wait for a configuration
	answers atomic.Int64                       // calls that the store has answered

	mu       sync.Mutex
	config   *configuration.Configuration
	text     configuration.Text
	rules    *catalog.Catalog             // of the configuration below
	rulesOf  *configuration.Configuration // whose rules they are
	targets  registry.Registry
	listed   bool
	heardAt  time.Time // as of which the targets are known
	toldAt   time.Time // the same, by a leader's word
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

// Reading reports whether this entry reads the store itself.
func (k *Keeper) Reading() bool {
	return !k.led()
}

// Known returns the place of the configuration in force in the order of all writes.
func (k *Keeper) Known() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.text.Revision
}

// Failing reports whether the store could not be read at the last look.
func (k *Keeper) Failing() bool {
	return k.failing.Load()
}

// FleetChanged completes the services anew, and tells the followers of the list of entries.
func (k *Keeper) FleetChanged(l entrylist.List) {
	k.update(func(now time.Time) bool {
		if k.listed {
			k.Publish(news.News{Version: k.targets.Version(), Age: now.Sub(k.heardAt), Entries: &l})
		}
		return true
	})
}

// HeardSince reports whether the store, or a leader, has spoken as of a time after the given one.
func (k *Keeper) HeardSince(since time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardAt.After(since)
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
	go k.endGrace(ctx)
	pause.Unless(ctx, k.HoldOff, holdOffTick, func() bool { return k.led() || k.First() })
	go k.followConfiguration(ctx)
	k.followTargets(ctx)
}

// led reports whether a leader's word is fresh, so that the store need not be read.
func (k *Keeper) led() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.toldAt.IsZero() && k.Now().Sub(k.toldAt) < k.Patience
}

// Whole returns all that is known, for a new follower, unless it is so old that a follower could not use it.
func (k *Keeper) Whole() (news.News, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config == nil || !k.listed || k.Now().Sub(k.heardAt) >= k.Patience {
		return news.News{}, false
	}
	return news.News{
		Whole:         true,
		Version:       k.targets.Version(),
		Age:           k.Now().Sub(k.heardAt),
		Registrations: k.targets.Listing(),
		Configuration: k.text.Value,
		Revision:      k.text.Revision,
	}, true
}

// Receive takes the word of a leader.
func (k *Keeper) Receive(n news.News) {
	if n.Configuration != nil {
		k.Configure(configuration.Text{Revision: n.Revision, Value: n.Configuration})
	}
	asOf := k.Now().Add(-n.Age)
	k.take(asOf, n.Registrations, n.Version, n.Whole)
	k.mu.Lock()
	defer k.mu.Unlock()
	if asOf.After(k.toldAt) {
		k.toldAt = asOf
	}
}

// take puts registrations in force that the store, or a leader, gave as of the time, and tells the followers.
func (k *Keeper) take(asOf time.Time, changes []registry.Change, version uint64, whole bool) {
	k.update(func(now time.Time) bool {
		k.noteReturn(now, asOf)
		if whole {
			k.targets.Replace(now, changes, version)
			k.listed = true
		} else {
			changes = k.targets.Apply(now, changes, version)
		}
		k.Publish(news.News{Whole: whole, Version: version, Age: now.Sub(asOf), Registrations: changes})
		return whole || len(changes) > 0
	})
}

// noteReturn gives registrations that lapsed while the store was silent time to come back; it is called with the lock
// held.
func (k *Keeper) noteReturn(now, asOf time.Time) {
	if !k.heardAt.IsZero() && asOf.Sub(k.heardAt) > k.PollEvery+outageAfter {
		k.targets.Returned(now)
		k.Log("discovery").WithField("silent", asOf.Sub(k.heardAt)).Info("The store is heard again.")
	}
	if asOf.After(k.heardAt) {
		k.heardAt = asOf
	}
}

// Configure puts a configuration in force if it is newer than the one held.
func (k *Keeper) Configure(t configuration.Text) {
	k.mu.Lock()
	known := t.Revision <= k.text.Revision
	k.mu.Unlock()
	if known {
		return
	}
	c, err := k.Decode(t)
	if err != nil {
		k.Counter("discovery.bad-configurations").Inc(1)
		k.Log("discovery").WithError(err).WithField("revision", t.Revision).Error("A configuration cannot be used.")
		return
	}
	k.update(func(time.Time) bool {
		if k.config != nil && (c.Revision <= k.config.Revision || c.Number <= k.config.Number) {
			return false
		}
		k.config, k.text = c, t
		k.Log("discovery").WithField("number", c.Number).WithField("revision", c.Revision).
			WithField("rules", len(c.Rules)).Info("A configuration is in force.")
		k.Publish(news.News{Version: k.targets.Version(), Age: k.Now().Sub(k.heardAt), Configuration: t.Value, Revision: t.Revision})
		return true
	})
}

// endGrace drops registrations whose grace is over.
func (k *Keeper) endGrace(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, graceTick)
		k.mu.Lock()
		expiring := k.targets.Expiring(k.Now().Add(-2 * graceTick))
		k.mu.Unlock()
		if expiring {
			k.update(func(time.Time) bool { return true })
		}
	}
}

// update changes the state and puts it in force, one change at a time.
func (k *Keeper) update(change func(now time.Time) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if !change(now) || k.config == nil || !k.listed {
		return
	}
	k.revision++
	c := k.build(now)
	k.current.Store(c)
	k.Changed(c)
}

// build is called with the lock held.
func (k *Keeper) build(now time.Time) *catalog.Catalog {
	if k.rulesOf != k.config {
		k.rules, k.rulesOf = catalogOf(k.config), k.config
	}
	targets := k.targets.Services(now)
	records := make([]record.Record, 0, len(k.config.Services))
	for _, s := range k.config.Services {
		s.Targets = targets[s.Name]
		s.Slots = k.targets.Slots(s.Name)
		k.Fill(&s)
		records = append(records, record.Record{Key: record.Key{Kind: record.KindService, Name: s.Name}, Revision: k.revision, Service: &s})
	}
	return k.rules.WithServices(records)
}

// catalogOf returns the rules of a configuration. Targets change far more often than rules, of which there may be thousands.
func catalogOf(c *configuration.Configuration) *catalog.Catalog {
	records := make([]record.Record, 0, len(c.Rules))
	for i := range c.Rules {
		r := &c.Rules[i]
		records = append(records, record.Record{Key: record.Key{Kind: record.KindRule, Name: r.Name}, Revision: c.Revision, Rule: r})
	}
	return catalog.Of(records)
}
