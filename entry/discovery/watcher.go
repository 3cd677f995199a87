package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/catalog"
	"poplarworks/core/confighistory"
	"poplarworks/core/configuration"
	"poplarworks/core/entrylist"
	"poplarworks/core/record"
	"poplarworks/core/registry"
	"poplarworks/core/service"
	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
)

const (
	minRetryDelay          = 250 * time.Millisecond
	maxRetryDelay          = 2 * time.Second         // Shorter than the time that an entry has for catching up after an outage.
	maxUnreadyRetryDelay   = 500 * time.Millisecond  // An entry that is not ready refuses callers until the store responds.
	recoveryGrace          = 2200 * time.Millisecond // Registrations that lapsed in an outage are back two seconds after it.
	minOutage              = 1500 * time.Millisecond // A gap beyond the poll interval that counts as an outage of the store.
	graceCheckInterval     = 250 * time.Millisecond
	leaderCheckInterval    = 100 * time.Millisecond // Interval of checks whether the leader's updates are still fresh.
	conditionCheckInterval = 20 * time.Millisecond
)

// Watcher holds the configuration and the targets in force, which it reads from the store or receives from a leader.
// Its exported fields are set before Run.
type Watcher struct {
	*common.Common
	Source               Source
	PollInterval         time.Duration // Interval between polls of the targets.
	ConfigurationTimeout time.Duration // Timeout of one call that waits for a new configuration.
	ConfigurationDelay   time.Duration // Delay between a new configuration and the next call; batches rapid changes into few calls.
	MaxStaleness         time.Duration // Maximum staleness: the longest time that a leader's updates may lag behind the store.
	StartDelay           time.Duration // Delay at the start, in which updates from a leader may make reading the store unnecessary.
	IsLeader             func() bool   // Reports whether this entry is known to have no leader.
	Decode               func(t configuration.Text) (*configuration.Configuration, error)
	OnChange             func(c *catalog.Catalog)   // Called after each change, one call at a time.
	CompleteService      func(s *service.Service)   // Completes a service that the configuration names.
	Publish              func(n storeupdate.Update) // Sends an update to the followers, one call at a time.
	OnRestore            func()                     // Called when the store has been restored from a copy; must not block. May be nil.

	current    atomic.Pointer[catalog.Catalog]
	failing    atomic.Bool                        // The last poll of the targets failed; the configuration is not read meanwhile.
	cancelWait atomic.Pointer[context.CancelFunc] // Cancels the wait for a configuration.
	responses  atomic.Int64                       // Number of successful calls to the store.

	mu              sync.Mutex
	config          *configuration.Configuration
	history         confighistory.History        // Holds the text from which config was decoded.
	rules           *catalog.Catalog             // Rules of rulesSource, kept to avoid rebuilding them.
	rulesSource     *configuration.Configuration // Configuration from which rules was built.
	targets         registry.Registry
	hasListing      bool      // All registrations have been received once.
	updatedAt       time.Time // Time as of which the targets are known, from the store or a leader.
	leaderUpdatedAt time.Time // Time as of which a leader has sent updates.
	revision        uint64    // Number of the catalogue in force; it grows with each change.
}

// Catalog returns the records in force. The caller must not change them.
func (k *Watcher) Catalog() *catalog.Catalog {
	if c := k.current.Load(); c != nil {
		return c
	}
	return &catalog.Catalog{}
}

// Ready reports whether configuration and targets are known.
func (k *Watcher) Ready() bool {
	return k.current.Load() != nil
}

// ReadsStore reports whether this entry reads the store itself, since no leader sends it fresh updates.
func (k *Watcher) ReadsStore() bool {
	return !k.leaderFresh()
}

// ConfigurationRevision returns the revision of the configuration in force: its place in the order of all writes to the
// store.
func (k *Watcher) ConfigurationRevision() storeversion.Version {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history.Current().Revision
}

// StoreFailing reports whether the last poll of the targets failed.
func (k *Watcher) StoreFailing() bool {
	return k.failing.Load()
}

// EntriesChanged rebuilds the services after a change of the list of entries, and publishes that list to the followers.
func (k *Watcher) EntriesChanged(l entrylist.List) {
	k.update(func(now time.Time) bool {
		if k.hasListing {
			k.Publish(storeupdate.Update{Version: k.targets.Version(), Age: now.Sub(k.updatedAt), Entries: &l})
		}
		return true
	})
}

// UpdatedSince reports whether the targets are known, from the store or a leader, as of a time after the given one.
func (k *Watcher) UpdatedSince(since time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.updatedAt.After(since)
}

// ConfigurationNumber returns the number that the operator gave the configuration in force, or zero if there is none.
func (k *Watcher) ConfigurationNumber() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config == nil {
		return 0
	}
	return k.config.Number
}

// Run watches the store until the context ends.
func (k *Watcher) Run(ctx context.Context) {
	k.mu.Lock()
	k.targets.RecoveryGrace = recoveryGrace
	k.mu.Unlock()
	go k.expireDelays(ctx)
	pause.Until(ctx, k.StartDelay, conditionCheckInterval, func() bool { return k.leaderFresh() || k.IsLeader() })
	go k.watchConfiguration(ctx)
	k.watchTargets(ctx)
}

// leaderFresh reports whether a leader's updates are fresh, so that the store need not be read.
func (k *Watcher) leaderFresh() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.leaderUpdatedAt.IsZero() && k.Now().Sub(k.leaderUpdatedAt) < k.MaxStaleness
}

// Snapshot returns a snapshot of the configuration and the targets for a new follower. It returns none if the snapshot
// would be stale: while the store is unavailable every entry tries the others, and a snapshot for each would overload
// this one.
func (k *Watcher) Snapshot() (storeupdate.Update, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config == nil || !k.hasListing || k.Now().Sub(k.updatedAt) >= k.MaxStaleness {
		return storeupdate.Update{}, false
	}
	text := k.history.Current()
	return storeupdate.Update{
		Full:          true,
		Version:       k.targets.Version(),
		Age:           k.Now().Sub(k.updatedAt),
		Registrations: k.targets.List(),
		Configuration: text.Value,
		Revision:      text.Revision,
	}, true
}

// Receive applies an update from a leader.
func (k *Watcher) Receive(n storeupdate.Update) {
	if n.Configuration != nil {
		k.Configure(configuration.Text{Revision: n.Revision, Value: n.Configuration})
	}
	asOf := k.Now().Add(-n.Age)
	if !k.apply(asOf, n.Registrations, n.Version, n.Full) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if asOf.After(k.leaderUpdatedAt) {
		k.leaderUpdatedAt = asOf
	}
}

// apply puts registrations in force that the store or a leader returned as of the given time, and publishes them to the
// followers. If snapshot is set, they replace all registrations held. It reports false if it ignored them, since they are
// from before the last restore of the store, or do not continue from what is held.
func (k *Watcher) apply(asOf time.Time, changes []registry.Change, version storeversion.Version, snapshot bool) bool {
	accepted, restored := false, false
	k.update(func(now time.Time) bool {
		held := k.targets.Version()
		if version.Era() < held.Era() || version.Era() > held.Era() && !snapshot {
			k.Counter("discovery.other-era").Inc(1)
			k.Log("discovery").WithField("version", version).WithField("held", held).Info("Ignored registrations of another era of the store.")
			return false
		}
		accepted, restored = true, k.hasListing && version.Era() > held.Era()
		if restored {
			k.Counter("discovery.restores").Inc(1)
			k.Log("discovery").WithField("version", version).WithField("held", held).Warn("The store was restored from a copy.")
		}
		k.noteRecovery(now, asOf)
		if snapshot {
			k.targets.Replace(now, changes, version)
			k.hasListing = true
		} else {
			changes = k.targets.Apply(now, changes, version)
		}
		k.Publish(storeupdate.Update{Full: snapshot, Version: version, Age: now.Sub(asOf), Registrations: changes})
		return snapshot || len(changes) > 0
	})
	if restored {
		k.interruptWait()
		if k.OnRestore != nil {
			k.OnRestore()
		}
	}
	return accepted
}

// noteRecovery starts a grace period if the store responds again after an outage, so that targets whose registrations
// lapsed in the outage can register again. It is called with the lock held.
func (k *Watcher) noteRecovery(now, asOf time.Time) {
	if !k.updatedAt.IsZero() && asOf.Sub(k.updatedAt) > k.PollInterval+minOutage {
		k.targets.StoreRecovered(now)
		k.Log("discovery").WithField("silent", asOf.Sub(k.updatedAt)).Info("The store responds again; lapsed registrations get a grace period.")
	}
	if asOf.After(k.updatedAt) {
		k.updatedAt = asOf
	}
}

// Configure puts a configuration in force if it is newer than the current one.
func (k *Watcher) Configure(t configuration.Text) {
	k.mu.Lock()
	newer := k.history.Newer(t.Revision)
	k.mu.Unlock()
	if !newer {
		return
	}
	c, err := k.Decode(t)
	if err != nil {
		k.Counter("discovery.bad-configurations").Inc(1)
		k.Log("discovery").WithError(err).WithField("revision", t.Revision).Error("Rejected a configuration that could not be decoded.")
		return
	}
	k.update(func(now time.Time) bool {
		switch k.history.Consider(now, t, c.Number) {
		case confighistory.Apply:
			k.putInForce(c)
			return true
		case confighistory.Confirm:
			k.publishConfiguration()
		case confighistory.Defer:
			k.Log("discovery").WithField("number", c.Number).WithField("revision", c.Revision).WithField("in-force", k.config.Number).
				Warn("The restored store has an older configuration; keeping the one in force for now.")
		case confighistory.Ignore:
		}
		return false
	})
}

// putInForce replaces the configuration by the history's current one. It is called with the lock held.
func (k *Watcher) putInForce(c *configuration.Configuration) {
	k.config = c
	k.Log("discovery").WithField("number", c.Number).WithField("revision", c.Revision).
		WithField("rules", len(c.Rules)).Info("Applied a new configuration.")
	k.publishConfiguration()
}

func (k *Watcher) publishConfiguration() {
	t := k.history.Current()
	k.Publish(storeupdate.Update{Version: k.targets.Version(), Age: k.Now().Sub(k.updatedAt), Configuration: t.Value, Revision: t.Revision})
}

// applyDeferred applies an older configuration that the restored store still has after a delay.
func (k *Watcher) applyDeferred() {
	k.update(func(now time.Time) bool {
		t, due := k.history.Due(now)
		if !due {
			return false
		}
		c, err := k.Decode(t)
		if err != nil { // It could be decoded before.
			k.Log("discovery").WithError(err).WithField("revision", t.Revision).Error("Rejected a configuration that could not be decoded.")
			return false
		}
		k.putInForce(c)
		return true
	})
}

// expireDelays drops registrations whose grace period has ended, and applies configurations whose delay has passed.
func (k *Watcher) expireDelays(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, graceCheckInterval)
		k.applyDeferred()
		k.mu.Lock()
		expiring := k.targets.HasPendingGrace(k.Now().Add(-2 * graceCheckInterval))
		k.mu.Unlock()
		if expiring {
			k.update(func(time.Time) bool { return true })
		}
	}
}

// update applies a change under the lock. If change returns true and both the configuration and the targets are known,
// it puts a new catalogue in force.
func (k *Watcher) update(change func(now time.Time) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if !change(now) || k.config == nil || !k.hasListing {
		return
	}
	k.revision++
	c := k.buildCatalog(now)
	k.current.Store(c)
	k.OnChange(c)
}

// buildCatalog returns the catalogue of the current rules and targets. It is called with the lock held.
func (k *Watcher) buildCatalog(now time.Time) *catalog.Catalog {
	if k.rulesSource != k.config {
		k.rules, k.rulesSource = rulesCatalog(k.config, k.revision), k.config
	}
	targets := k.targets.Services(now)
	records := make([]record.Record, 0, len(k.config.Services))
	for _, s := range k.config.Services {
		s.Targets = targets[s.Name]
		s.Slots = k.targets.Slots(s.Name)
		k.CompleteService(&s)
		records = append(records, record.Record{Key: record.Key{Kind: record.KindService, Name: s.Name}, Revision: k.revision, Service: &s})
	}
	return k.rules.WithServices(records)
}

// rulesCatalog returns the catalogue of a configuration's rules. It is built once per configuration, since there may be
// thousands of rules and the targets change far more often.
func rulesCatalog(c *configuration.Configuration, revision uint64) *catalog.Catalog {
	records := make([]record.Record, 0, len(c.Rules))
	for i := range c.Rules {
		r := &c.Rules[i]
		records = append(records, record.Record{Key: record.Key{Kind: record.KindRule, Name: r.Name}, Revision: revision, Rule: r})
	}
	return catalog.FromRecords(records)
}
