package outcome

import (
	"time"

	"poplarworks/core/ratelimit"
	"poplarworks/core/report"
)

// Kind is the way in which an attempt ended.
type Kind string

// The kinds of outcomes.
const (
	Answered  Kind = "answered"  // the target answered
	Failed    Kind = "failed"    // the target answered with a server error
	Shed      Kind = "shed"      // the target reported that it did not run the request
	NotSent   Kind = "not-sent"  // nothing was written to the target
	Broken    Kind = "broken"    // the connection closed before the answer was complete
	TimedOut  Kind = "timed-out" // the deadline passed before the answer came
	Cancelled Kind = "cancelled" // the caller disconnected, or another attempt of a hedged request answered first
)

// Outcome is the result of an attempt, as the entry observed it.
type Outcome struct {
	Kind       Kind
	Latency    time.Duration
	HasReport  bool
	Report     report.Report   // set if HasReport
	RateLimit  ratelimit.Limit // named in the answer; valid if Answering
	Answering  bool            // the target has answered for itself, even if only with a refusal
	Draining   bool            // the target signalled in the answer that it is draining
	Suspect    bool            // the request itself is suspected of crashing targets
	Downstream bool            // the answer comes from another entry downstream, which has already retried
}

// NotRun reports whether the outcome proves that the target did not run the request.
func (o Outcome) NotRun() bool {
	return o.Kind == Shed || o.Kind == NotSent
}
