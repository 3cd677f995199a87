package quarantine

import (
	"encoding/hex"
	"slices"
	"time"

	"poplarworks/core/recentset"
)

const (
	crashDedupWindow = 2 * time.Second  // several reports about one target within this time are counted as one crash
	answerMemory     = 10 * time.Second // a request that was answered this recently is not blamed for a crash
	maxAnswered      = 4096             // answered requests remembered in that time
	maxPeriods       = 16               // longest quarantine, as a multiple of the first
)

// Fingerprint identifies a request across retries by the caller: it is derived from what the caller sends again.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits, as it stands in logs.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// List counts crashes by fingerprint. It is not safe for concurrent use.
type List struct {
	Threshold int           // number of crashes after which a fingerprint is quarantined
	Period    time.Duration // how long the first quarantine lasts, and how long crashes are kept
	Capacity  int           // maximum number of fingerprints kept; the oldest is evicted first

	crashes  map[Fingerprint]history
	answered recentset.Set[Fingerprint]
}

// history is what is known of one fingerprint.
type history struct {
	crashes   []crash // the newest ones, as many as the threshold
	lastCrash time.Time
	periods   int // length of the quarantine, as a multiple of the period; zero if there has been none
}

// quarantinedUntil returns the end of the quarantine, or the time of the last crash if there is none.
func (h history) quarantinedUntil(period time.Duration) time.Time {
	return h.lastCrash.Add(time.Duration(h.periods) * period)
}

// keptUntil returns the time until which the crashes are kept.
func (h history) keptUntil(period time.Duration) time.Time {
	return h.quarantinedUntil(period).Add(period)
}

// crash is one crash of one target.
type crash struct {
	target string
	at     time.Time
}

// RecordCrash counts a crash of the target at the given time. It returns false if the crash was already reported, or if
// the fingerprint is already in quarantine or was answered lately, so that something else must have crashed the target.
func (l *List) RecordCrash(at time.Time, fingerprint Fingerprint, target string) bool {
	l.removeExpired(at)
	if l.answered.Has(at, fingerprint) {
		return false
	}
	if l.crashes == nil {
		l.crashes = map[Fingerprint]history{}
	}
	record, ok := l.crashes[fingerprint]
	if !ok && len(l.crashes) >= l.Capacity {
		l.evictOldest()
	}
	if _, blocked := l.Quarantined(at, fingerprint); blocked || record.duplicate(at, target) {
		return false
	}
	record.crashes = append(record.crashes, crash{target: target, at: at})
	if at.After(record.lastCrash) {
		record.lastCrash = at
	}
	if excess := len(record.crashes) - l.Threshold; excess >= 0 {
		record.crashes = record.crashes[excess:]
		record.periods = min(maxPeriods, max(1, 2*record.periods))
	}
	l.crashes[fingerprint] = record
	return true
}

// duplicate reports whether a report about the target belongs to a crash that is already counted.
func (h history) duplicate(at time.Time, target string) bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool {
		return c.target == target && at.Sub(c.at).Abs() < crashDedupWindow
	})
}

// RecordAnswer deletes the crashes of a fingerprint that a target has answered, since the request cannot have caused
// them. A fingerprint in quarantine stays there.
func (l *List) RecordAnswer(now time.Time, fingerprint Fingerprint) {
	if _, blocked := l.Quarantined(now, fingerprint); blocked {
		return
	}
	delete(l.crashes, fingerprint)
	l.answered.Period, l.answered.Capacity = answerMemory, maxAnswered
	l.answered.Add(now, fingerprint)
}

// Quarantined reports whether the fingerprint is in quarantine, and when the quarantine ends. For another period after
// that, a single crash starts a quarantine twice as long.
func (l *List) Quarantined(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	record, ok := l.crashes[fingerprint]
	if !ok || record.periods == 0 {
		return time.Time{}, false
	}
	until := record.quarantinedUntil(l.Period)
	return until, now.Before(until)
}

// Repeated returns the fingerprints with at least two crashes that are still kept, those that crashed a target last
// first, up to the limit.
func (l *List) Repeated(now time.Time, limit int) []Fingerprint {
	l.removeExpired(now)
	var repeated []Fingerprint
	for fingerprint, record := range l.crashes {
		if len(record.crashes) > 1 {
			repeated = append(repeated, fingerprint)
		}
	}
	slices.SortFunc(repeated, func(x, y Fingerprint) int { return l.crashes[y].lastCrash.Compare(l.crashes[x].lastCrash) })
	return repeated[:min(limit, len(repeated))]
}

// EachCrash calls the function with the target and the time of each crash of the fingerprint.
func (l *List) EachCrash(fingerprint Fingerprint, call func(target string, at time.Time)) {
	for _, c := range l.crashes[fingerprint].crashes {
		call(c.target, c.at)
	}
}

// CrashedRecently reports whether the crashes of the fingerprint are still kept.
func (l *List) CrashedRecently(now time.Time, fingerprint Fingerprint) bool {
	record, ok := l.crashes[fingerprint]
	return ok && now.Before(record.keptUntil(l.Period))
}

// Size returns the number of fingerprints kept.
func (l *List) Size() int {
	return len(l.crashes)
}

// removeExpired deletes the fingerprints whose last crash, or the quarantine after it, is past for a period.
func (l *List) removeExpired(now time.Time) {
	for fingerprint, record := range l.crashes {
		if !now.Before(record.keptUntil(l.Period)) {
			delete(l.crashes, fingerprint)
		}
	}
}

// evictOldest deletes the fingerprint with the least recent crash.
func (l *List) evictOldest() {
	var oldest Fingerprint
	var oldestAt time.Time
	for fingerprint, record := range l.crashes {
		if oldestAt.IsZero() || record.lastCrash.Before(oldestAt) {
			oldest, oldestAt = fingerprint, record.lastCrash
		}
	}
	delete(l.crashes, oldest)
}
