package relay

import "time"

// Sending is what a target is told beside the caller's request.
type Sending struct {
	ID       string
	Instance string // the incarnation that the request is meant for; empty if any will do
	Host     string
	Origin   Origin
	Left     time.Duration // until nobody waits for the answer
	Retries  int           // attempts before this one, at this entry and at layers before it
}
