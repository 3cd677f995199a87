package decision

import (
	"net/netip"
	"time"

	"poplarworks/core/code"
)

// Kind tells whether a request is sent, queued or refused.
type Kind string

// The kinds of decisions: Send goes to a target now, Wait queues for a later decision, and Refuse is rejected.
const (
	Send   Kind = "send"
	Wait   Kind = "wait"
	Refuse Kind = "refuse"
)

// Decision is the result of asking for a target for one request.
type Decision struct {
	ID         uint64
	Kind       Kind
	Name       string // name of the target; for Send
	Address    netip.AddrPort
	Instance   string        // instance name that the target gives itself; for Send
	Cost       float64       // expected latency as a multiple of that of an idle target; for Send
	ReportAge  time.Duration // age of the load report of the target; for Send
	Code       code.Code     // reason; for Refuse
	RetryAfter time.Duration // time after which the caller may retry; for Refuse
}
