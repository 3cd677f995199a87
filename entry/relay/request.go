package relay

import "time"

// RequestMetadata holds what an entry sends to a target in header fields in addition to the caller's request.
type RequestMetadata struct {
	ID             string
	TargetInstance string // the incarnation that the request is addressed to; empty if any may serve it
	Host           string
	Origin         Origin
	TimeLeft       time.Duration // remaining time until the deadline
	Retries        int           // earlier attempts, of this entry and of upstream layers
}
