package quarantine

import (
	"slices"
	"time"
)

// Fingerprint identifies a request by what a caller sends again: its key, or its method, path and body.
type Fingerprint [16]byte

// sameCrash is the time within which several reports about one target mean one crash.
const sameCrash = 2 * time.Second

// List counts crashes by fingerprint; it is not safe for concurrent use.
type List struct {
	Threshold int           // crashes that put a fingerprint into quarantine
	Period    time.Duration // how long it stays there, and how long crashes are remembered
	Capacity  int           // most fingerprints held

	crashes map[Fingerprint]history
}

type history struct {
	targets []string
	last    time.Time
}

// Crash counts a crash of the target; it reports whether this was news.
func (l *List) Crash(now time.Time, fingerprint Fingerprint, target string) bool {
	l.forget(now)
	if l.crashes == nil {
		l.crashes = map[Fingerprint]history{}
	}
	held, ok := l.crashes[fingerprint]
	if !ok && len(l.crashes) >= l.Capacity {
		l.evict()
	}
	if len(held.targets) >= l.Threshold || held.reported(now, target) {
		return false
	}
	held.targets = append(held.targets, target)
	held.last = now
	l.crashes[fingerprint] = held
	return true
}

// reported tells a second report of one crash from a second crash.
func (h history) reported(now time.Time, target string) bool {
	return now.Sub(h.last) < sameCrash && slices.Contains(h.targets, target)
}

// Forgive forgets the crashes of a fingerprint that a target has answered, since the request cannot be their cause.
func (l *List) Forgive(now time.Time, fingerprint Fingerprint) {
	if _, blocked := l.Blocked(now, fingerprint); !blocked {
		delete(l.crashes, fingerprint)
	}
}

// Blocked reports whether the fingerprint is in quarantine, and until when.
func (l *List) Blocked(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	held, ok := l.crashes[fingerprint]
	if !ok || len(held.targets) < l.Threshold {
		return time.Time{}, false
	}
	until := held.last.Add(l.Period)
	return until, now.Before(until)
}

// Targets returns the targets that a fingerprint in quarantine has crashed.
func (l *List) Targets(now time.Time, fingerprint Fingerprint) []string {
	if _, blocked := l.Blocked(now, fingerprint); !blocked {
		return nil
	}
	return l.crashes[fingerprint].targets
}

// Suspect reports whether the fingerprint has crashed a target within the period.
func (l *List) Suspect(now time.Time, fingerprint Fingerprint) bool {
	held, ok := l.crashes[fingerprint]
	return ok && now.Before(held.last.Add(l.Period))
}

// Size returns the fingerprints held.
func (l *List) Size() int {
	return len(l.crashes)
}

func (l *List) forget(now time.Time) {
	for fingerprint, held := range l.crashes {
		if !now.Before(held.last.Add(l.Period)) {
			delete(l.crashes, fingerprint)
		}
	}
}

func (l *List) evict() {
	var oldest Fingerprint
	var at time.Time
	for fingerprint, held := range l.crashes {
		if at.IsZero() || held.last.Before(at) {
			oldest, at = fingerprint, held.last
		}
	}
	delete(l.crashes, oldest)
}
