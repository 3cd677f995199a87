package request

import (
	"time"

	"poplarworks/core/rule"
)

// Request is one request of a caller.
type Request struct {
	ID       uint64
	Rule     *rule.Rule
	Caller   string
	Arrived  time.Time
	Deadline time.Time
	TimeLeft time.Duration // time that the caller allowed at arrival; zero if it gave none
	Attempt  int           // attempts started here, plus retries made by upstream layers
	Tried    []string      // targets already attempted
}

// Flow returns the key of the flow in which the request is queued, so that callers and rules share a queue fairly.
func (r Request) Flow() string {
	return r.Caller + "\x00" + r.Rule.Name
}
