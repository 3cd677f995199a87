package registry

import (
	"maps"
	"slices"
	"time"

	"poplarworks/core/service"
	"poplarworks/core/storeversion"
)

// Registry holds the newest version of every registration. It is not safe for concurrent use.
type Registry struct {
	// RecoveryGrace is how long after the store recovers from an outage a registration that expired meanwhile may still
	// be renewed.
	RecoveryGrace time.Duration

	registrations map[string]*registration
	version       storeversion.Version
	returnedAt    time.Time
}

// registration is the state of one key.
type registration struct {
	version      storeversion.Version
	entry        *Registration // last valid entry; after a removal it is kept until the grace period ends
	leaving      bool          // once set, it stays set for the incarnation
	removed      bool
	graceEndsAt  time.Time // end of the grace period of a removed registration
	warmupEndsAt time.Time
}

// Version returns the version up to which all changes have been applied.
func (r *Registry) Version() storeversion.Version {
	return r.version
}

// StoreRecovered records that the store can be reached again after an outage.
func (r *Registry) StoreRecovered(now time.Time) {
	r.returnedAt = now
}

// Apply applies all changes up to the version. It returns those that change more than the liveness of a target. Changes
// of another era of the store than that of the registrations are ignored, since they do not continue from these.
func (r *Registry) Apply(now time.Time, changes []Change, version storeversion.Version) []Change {
	if version.Era() != r.version.Era() {
		return nil
	}
	var significant []Change
	for _, c := range changes {
		if r.apply(now, c) {
			significant = append(significant, c)
		}
	}
	r.version = max(r.version, version)
	return significant
}

// List returns all current registrations.
func (r *Registry) List() []Change {
	listing := make([]Change, 0, len(r.registrations))
	for key, reg := range r.registrations {
		if reg.entry != nil && !reg.removed {
			entry := *reg.entry
			entry.Leaving = reg.leaving
			listing = append(listing, Change{Key: key, Version: reg.version, Registration: &entry})
		}
	}
	return listing
}

// Replace applies a full listing as of the version. Registrations that are missing from it are removed, unless the
// listing is older than the current version. After a restore of the store, targets register again as after an outage.
func (r *Registry) Replace(now time.Time, listing []Change, version storeversion.Version) {
	if version.Era() < r.version.Era() {
		return
	}
	if version.Era() > r.version.Era() && r.version > 0 {
		r.StoreRecovered(now)
	}
	listed := map[string]bool{}
	for _, c := range listing {
		listed[c.Key] = true
		r.apply(now, c)
	}
	if version < r.version {
		return
	}
	r.version = version
	for key, reg := range r.registrations {
		if !listed[key] && reg.version <= version {
			r.remove(now, reg, version)
		}
	}
}

// apply applies one change and reports whether it changes more than the liveness of the target.
func (r *Registry) apply(now time.Time, c Change) bool {
	if r.registrations == nil {
		r.registrations = map[string]*registration{}
	}
	reg, ok := r.registrations[c.Key]
	if !ok {
		reg = &registration{}
		r.registrations[c.Key] = reg
	}
	if ok && c.Version <= reg.version {
		return false
	}
	if c.Registration == nil {
		r.remove(now, reg, c.Version)
		return true
	}
	restored := c.Version.Era() > reg.version.Era()
	reg.version = c.Version
	if reg.entry != nil && reg.entry.newerThan(c.Registration) {
		return false
	}
	if restored && reg.removed && reg.entry != nil && !c.Registration.newerThan(reg.entry) {
		return false // the copy from which the store was restored is older than the removal
	}
	significant := reg.entry == nil || reg.removed || !reg.entry.equalExceptLiveness(c.Registration)
	sameIncarnation := reg.entry != nil && reg.entry.Started.Equal(c.Registration.Started) && reg.entry.Address == c.Registration.Address
	reg.leaving = c.Registration.Leaving || sameIncarnation && reg.leaving
	if !sameIncarnation || c.Registration.WarmupRemaining == 0 {
		reg.warmupEndsAt = time.Time{}
		if c.Registration.WarmupRemaining > 0 {
			reg.warmupEndsAt = now.Add(c.Registration.WarmupRemaining)
		}
	}
	reg.entry, reg.removed = c.Registration, false
	return significant
}

// equalExceptLiveness reports whether both entries are equal apart from the fields that every heartbeat changes. Of the
// warm-up, only whether it is over counts.
func (e *Registration) equalExceptLiveness(other *Registration) bool {
	x, y := *e, *other
	x.Sequence, y.Sequence = 0, 0
	x.WarmupRemaining, y.WarmupRemaining = 0, 0
	return x == y && (e.WarmupRemaining > 0) == (other.WarmupRemaining > 0)
}

// newerThan reports whether the other entry was written before this one, by an earlier incarnation or with a lower
// sequence.
func (e *Registration) newerThan(other *Registration) bool {
	if !e.Started.Equal(other.Started) {
		return other.Started.Before(e.Started)
	}
	return other.Sequence < e.Sequence
}

// remove marks the registration as removed. It keeps the entry for a grace period only shortly after an outage of the
// store, since targets could not renew their registrations during the outage.
func (r *Registry) remove(now time.Time, reg *registration, version storeversion.Version) {
	reg.version = version
	if reg.removed {
		return
	}
	reg.removed, reg.graceEndsAt = true, now
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < r.RecoveryGrace {
		reg.graceEndsAt = r.returnedAt.Add(r.RecoveryGrace)
	}
}

// Services returns the targets of each service, ordered by key. Targets that were removed and whose grace period has
// ended are left out.
func (r *Registry) Services(now time.Time) map[string][]service.Target {
	services := map[string][]service.Target{}
	for _, key := range slices.Sorted(maps.Keys(r.registrations)) {
		reg := r.registrations[key]
		if reg.entry == nil || reg.removed && !now.Before(reg.graceEndsAt) {
			continue
		}
		services[reg.entry.Service] = append(services[reg.entry.Service], service.Target{
			Name:         key,
			Address:      reg.entry.Address,
			DataCentre:   reg.entry.DataCentre,
			Instance:     key,
			Started:      reg.entry.Started,
			WarmupEndsAt: reg.warmupEndsAt,
			Leaving:      reg.leaving,
			Unconfirmed:  reg.removed,
		})
	}
	return services
}

// Slots returns the slots of most registered targets of the service, or 1 if there is none.
func (r *Registry) Slots(service string) int {
	counts := map[int]int{}
	for _, reg := range r.registrations {
		if reg.entry != nil && !reg.removed && reg.entry.Service == service {
			counts[reg.entry.Slots]++
		}
	}
	most := 1
	for slots, count := range counts {
		if count > counts[most] || count == counts[most] && slots < most {
			most = slots
		}
	}
	return most
}

// HasPendingGrace reports whether any removed registration is still within its grace period.
func (r *Registry) HasPendingGrace(now time.Time) bool {
	for _, reg := range r.registrations {
		if reg.removed && now.Before(reg.graceEndsAt) {
			return true
		}
	}
	return false
}
