package outcome

import (
	"time"

	"poplarworks/core/report"
)

// Kind is the way in which an attempt ended.
type Kind string

// The kinds of outcomes.
const (
	Answered  Kind = "answered"  // the target answered
	Failed    Kind = "failed"    // the target answered with a server error
	Shed      Kind = "shed"      // the target said that it did not run the request
	NotSent   Kind = "not-sent"  // nothing was written to the target
	Broken    Kind = "broken"    // the connection ended before a whole answer
	TimedOut  Kind = "timed-out" // the deadline passed first
	Cancelled Kind = "cancelled" // the caller left, or a hedge won
)

// Outcome is what the entry learnt from an attempt.
type Outcome struct {
	Kind       Kind
	Latency    time.Duration
	HasReport  bool
	Report     report.Report // set if HasReport
	Draining   bool          // the answer carried the drain sign
	Suspect    bool          // the request itself is suspected of crashing targets
	Downstream bool          // the answer comes from another entry further down, which has retried already
}

// NotRun reports whether the outcome proves that the target did not run the request.
func (o Outcome) NotRun() bool {
	return o.Kind == Shed || o.Kind == NotSent
}
