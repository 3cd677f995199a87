package crashrecord

import (
	"time"

	"poplarworks/core/quarantine"
)

// Record says that a request has crashed a target.
type Record struct {
	Fingerprint quarantine.Fingerprint
	Target      string
	At          time.Time
}
