package crashwire

import (
	"time"

	"poplarworks/core/crashrecord"
	"poplarworks/core/quarantine"
	"poplarworks/entry/peerpb"
)

// maxAge limits the age that a peer may state.
const maxAge = time.Hour

// ToWire returns the message for a crash. Messages state the age of a crash, since the clocks of entries differ.
func ToWire(r crashrecord.Record, now time.Time) *peerpb.Crash {
	age := max(0, now.Sub(r.At).Milliseconds())
	return &peerpb.Crash{Fingerprint: r.Fingerprint[:], Target: r.Target, AgeMs: uint64(age)}
}

// FromWire returns the crash of a message, and whether the message is valid.
func FromWire(w *peerpb.Crash, now time.Time) (crashrecord.Record, bool) {
	if len(w.GetFingerprint()) != len(quarantine.Fingerprint{}) || w.GetTarget() == "" {
		return crashrecord.Record{}, false
	}
	age := time.Duration(min(w.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond
	return crashrecord.Record{Fingerprint: quarantine.Fingerprint(w.GetFingerprint()), Target: w.GetTarget(), At: now.Add(-age)}, true
}
