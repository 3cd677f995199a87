package decision

import (
	"net/netip"
	"time"

	"poplarworks/core/code"
)

// Kind is what becomes of a request.
type Kind string

// The kinds of decisions.
const (
	Send   Kind = "send"
	Wait   Kind = "wait"
	Refuse Kind = "refuse"
)

// Decision is the answer to one request for a target.
type Decision struct {
	ID         uint64
	Kind       Kind
	Name       string // target, for Send
	Address    netip.AddrPort
	Instance   string        // by which the target knows itself, for Send
	Cost       float64       // expected, as a multiple of an idle target's time, for Send
	ReportAge  time.Duration // of the target's load report, for Send
	Code       code.Code     // for Refuse
	RetryAfter time.Duration // for Refuse
}
