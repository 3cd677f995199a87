package registry

import (
	"maps"
	"slices"
	"time"

	"poplarworks/core/service"
)

// Registry holds the newest version of every registration; it is not safe for concurrent use.
type Registry struct {
	// ReturnGrace is how long after the store's return a registration that lapsed meanwhile may still come back.
	ReturnGrace time.Duration

	held       map[string]*held
	version    uint64
	returnedAt time.Time
}

type held struct {
	version   uint64
	entry     *Entry // the last usable one; kept when the registration is removed, until its grace is over
	leaving   bool   // sticky for an incarnation
	removed   bool
	keepUntil time.Time // end of the grace of a removed registration
	coldUntil time.Time
}

// Version returns the version up to which all changes are known.
func (r *Registry) Version() uint64 {
	return r.version
}

// Returned notes that the store can be reached again after an outage.
func (r *Registry) Returned(now time.Time) {
	r.returnedAt = now
}

// Apply takes all changes up to the version, and returns those that say more than that a target lives.
func (r *Registry) Apply(now time.Time, changes []Change, version uint64) []Change {
	var material []Change
	for _, c := range changes {
		if r.apply(now, c) {
			material = append(material, c)
		}
	}
	r.version = max(r.version, version)
	return material
}

// Listing returns all registrations that are held.
func (r *Registry) Listing() []Change {
	listing := make([]Change, 0, len(r.held))
	for key, h := range r.held {
		if h.entry != nil && !h.removed {
			entry := *h.entry
			entry.Leaving = h.leaving
			listing = append(listing, Change{Key: key, Version: h.version, Entry: &entry})
		}
	}
	return listing
}

// Replace takes a whole listing as of the version; what it lacks was removed, unless the listing is older than what is
// known.
func (r *Registry) Replace(now time.Time, listing []Change, version uint64) {
	listed := map[string]bool{}
	for _, c := range listing {
		listed[c.Key] = true
		r.apply(now, c)
	}
	if version < r.version {
		return
	}
	r.version = version
	for key, h := range r.held {
		if !listed[key] && h.version <= version {
			r.remove(now, h, version)
		}
	}
}

// apply reports whether the change says more than that the target lives.
func (r *Registry) apply(now time.Time, c Change) bool {
	if r.held == nil {
		r.held = map[string]*held{}
	}
	h, ok := r.held[c.Key]
	if !ok {
		h = &held{}
		r.held[c.Key] = h
	}
	if ok && c.Version <= h.version {
		return false
	}
	if c.Entry == nil {
		r.remove(now, h, c.Version)
		return true
	}
	h.version = c.Version
	if h.entry != nil && h.entry.older(c.Entry) {
		return false
	}
	material := h.entry == nil || h.removed || !h.entry.alike(c.Entry)
	same := h.entry != nil && h.entry.Started.Equal(c.Entry.Started) && h.entry.Address == c.Entry.Address
	h.leaving = c.Entry.Leaving || same && h.leaving
	if !same || c.Entry.WarmupLeft == 0 {
		h.coldUntil = time.Time{}
		if c.Entry.WarmupLeft > 0 {
			h.coldUntil = now.Add(c.Entry.WarmupLeft)
		}
	}
	h.entry, h.removed = c.Entry, false
	return material
}

// alike reports whether both entries say the same, but for signs of life.
func (e *Entry) alike(other *Entry) bool {
	x, y := *e, *other
	x.Sequence, y.Sequence = 0, 0
	x.WarmupLeft, y.WarmupLeft = 0, 0
	return x == y && (e.WarmupLeft > 0) == (other.WarmupLeft > 0)
}

// older reports whether the other entry was written before this one, by an earlier incarnation or with a lower sequence.
func (e *Entry) older(other *Entry) bool {
	if !e.Started.Equal(other.Started) {
		return other.Started.Before(e.Started)
	}
	return other.Sequence < e.Sequence
}

func (r *Registry) remove(now time.Time, h *held, version uint64) {
	h.version = version
	if h.removed {
		return
	}
	h.removed, h.keepUntil = true, now
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < r.ReturnGrace {
		h.keepUntil = r.returnedAt.Add(r.ReturnGrace)
	}
}

// Services returns the targets of each service, in order of their keys; those that are gone are left out.
func (r *Registry) Services(now time.Time) map[string][]service.Target {
	services := map[string][]service.Target{}
	for _, key := range slices.Sorted(maps.Keys(r.held)) {
		h := r.held[key]
		if h.entry == nil || h.removed && !now.Before(h.keepUntil) {
			continue
		}
		services[h.entry.Service] = append(services[h.entry.Service], service.Target{
			Name:       key,
			Address:    h.entry.Address,
			DataCentre: h.entry.DataCentre,
			Instance:   key,
			Started:    h.entry.Started,
			ColdUntil:  h.coldUntil,
			Leaving:    h.leaving,
			Doubtful:   h.removed,
		})
	}
	return services
}

// Slots returns the slots of a target of the service, or one if there is none.
func (r *Registry) Slots(service string) int {
	for _, h := range r.held {
		if h.entry != nil && !h.removed && h.entry.Service == service && h.entry.Slots > 0 {
			return h.entry.Slots
		}
	}
	return 1
}

// Expiring reports whether a removed registration is still in its grace.
func (r *Registry) Expiring(now time.Time) bool {
	for _, h := range r.held {
		if h.removed && now.Before(h.keepUntil) {
			return true
		}
	}
	return false
}
