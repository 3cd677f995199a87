package relay

import "time"

// Sending holds what an entry sends to a target in header fields in addition to the caller's request.
type Sending struct {
	ID       string
	Instance string // the incarnation that the request is addressed to; empty if any may serve it
	Host     string
	Origin   Origin
	Left     time.Duration // remaining time until the deadline
	Retries  int           // earlier attempts, of this entry and of upstream layers
}
