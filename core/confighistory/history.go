package confighistory

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"poplarworks/core/configuration"
	"poplarworks/core/storeversion"
)

// Delays before a configuration with a lower number than that in force is applied after a restore of the store. In this
// time the operator can write again what was lost.
const (
	knownDelay = 30 * time.Second        // it was in force before, so it comes from the copy or is written again on the way to a newer one
	firstDelay = 2500 * time.Millisecond // it is the first after the restore, so it may come from the copy
	laterDelay = time.Second
)

const maxKnown = 64

// Verdict tells what to do with a configuration.
type Verdict string

// The verdicts: Apply puts the configuration in force, Confirm means that it is in force already, Defer that it may be
// applied later, and Ignore that it is older than one that was considered before.
const (
	Apply   Verdict = "apply"
	Confirm Verdict = "confirm"
	Defer   Verdict = "defer"
	Ignore  Verdict = "ignore"
)

// History holds the configuration in force and what is known of earlier ones. After a restore the store returns an older
// configuration until the operator has written again what was lost; a newer one stays in force meanwhile. It is not safe
// for concurrent use.
type History struct {
	current    configuration.Text
	number     uint64
	considered storeversion.Version // newest revision so far
	known      [][sha256.Size]byte  // hashes of recent configurations, the newest last
	deferred   *deferral
}

// deferral is a configuration that is applied unless a newer one comes first.
type deferral struct {
	text   configuration.Text
	number uint64
	due    time.Time
	known  bool
}

// Current returns the configuration in force, or the zero value if there is none.
func (h *History) Current() configuration.Text {
	return h.current
}

// Newer reports whether the revision is newer than all that were considered.
func (h *History) Newer(revision storeversion.Version) bool {
	return revision > h.considered
}

// Consider decides about a configuration with the number that the operator gave it. One with the verdict Apply counts as
// in force from then on.
func (h *History) Consider(now time.Time, t configuration.Text, number uint64) Verdict {
	if !h.Newer(t.Revision) {
		return Ignore
	}
	first := t.Revision.Era() > h.considered.Era()
	h.considered = t.Revision
	hash := sha256.Sum256(t.Value)
	known := slices.Contains(h.known, hash)
	h.remember(hash)
	switch {
	case h.current.Value == nil:
		return h.apply(t, number)
	case bytes.Equal(t.Value, h.current.Value):
		h.current.Revision, h.deferred = t.Revision, nil
		return Confirm
	case number > h.number || number == h.number && h.restored(t):
		return h.apply(t, number)
	case !h.restored(t):
		return Ignore
	case known:
		h.deferred = &deferral{text: t, number: number, due: now.Add(knownDelay), known: true}
	case first:
		h.postpone(t, number, now.Add(firstDelay))
	default:
		h.postpone(t, number, now.Add(laterDelay))
	}
	return Defer
}

// Due returns the deferred configuration whose delay has passed, if there is one, which counts as in force from then on.
func (h *History) Due(now time.Time) (configuration.Text, bool) {
	if h.deferred == nil || now.Before(h.deferred.due) {
		return configuration.Text{}, false
	}
	t := h.deferred.text
	h.apply(t, h.deferred.number)
	return t, true
}

// restored reports whether the store has been restored since the configuration in force was read.
func (h *History) restored(t configuration.Text) bool {
	return t.Revision.Era() > h.current.Revision.Era()
}

func (h *History) apply(t configuration.Text, number uint64) Verdict {
	h.current, h.number, h.deferred = t, number, nil
	return Apply
}

// postpone defers a configuration that was not known before. A series of them does not extend the delay of the first.
func (h *History) postpone(t configuration.Text, number uint64, due time.Time) {
	if h.deferred != nil && !h.deferred.known && h.deferred.due.Before(due) {
		due = h.deferred.due
	}
	h.deferred = &deferral{text: t, number: number, due: due}
}

func (h *History) remember(hash [sha256.Size]byte) {
	h.known = append(slices.DeleteFunc(h.known, func(known [sha256.Size]byte) bool { return known == hash }), hash)
	if len(h.known) > maxKnown {
		h.known = h.known[1:]
	}
}
