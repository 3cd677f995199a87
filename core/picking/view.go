package picking

import "time"

// View shows the targets of one service for the request at hand.
type View interface {
	// Len returns the number of targets.
	Len() int
	// Open reports whether the target takes new work at all.
	Open(i int) bool
	// Eligible reports whether the target is open and below every limit for this request.
	Eligible(i int) bool
	// Free returns the number of targets at which a slot is free that no other entry counts on.
	Free() int
	// FreeAt returns the index of the k-th of these, in no order.
	FreeAt(k int) int
	// Own returns this entry's requests in flight at the target.
	Own(i int) int
	// Cost returns the expected time to an answer, as a multiple of that of an idle target.
	Cost(i int) float64
	// ReportAge returns how old the newest load report of the target is.
	ReportAge(i int) time.Duration
	// Name returns the name of the target.
	Name(i int) string
	// Now returns the time of the decision.
	Now() time.Time
}
