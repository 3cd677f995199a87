package picking

import "time"

// View is the state of the targets of one service, as seen by one request.
type View interface {
	// Len returns the number of targets.
	Len() int
	// Open reports whether the target accepts new requests at all.
	Open(i int) bool
	// Eligible reports whether the target is open and below all limits that apply to this request.
	Eligible(i int) bool
	// FreeCount returns the number of targets that have a free slot allotted to this entry, which no other entry counts
	// on.
	FreeCount() int
	// FreeAt returns the index of the k-th of the targets that FreeCount counts, in no particular order.
	FreeAt(k int) int
	// OwnInFlight returns the number of requests of this entry in flight at the target.
	OwnInFlight(i int) int
	// Cost returns the expected latency, as a multiple of the latency at an idle target.
	Cost(i int) float64
	// ReportAge returns the age of the newest load report of the target.
	ReportAge(i int) time.Duration
	// Name returns the name of the target.
	Name(i int) string
	// Now returns the time of the decision.
	Now() time.Time
}
