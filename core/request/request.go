package request

import (
	"time"

	"poplarworks/core/rule"
)

// Request is one caller's request.
type Request struct {
	ID       uint64
	Rule     *rule.Rule
	Caller   string
	Arrived  time.Time
	Deadline time.Time
	Left     time.Duration // that the caller allowed when the request arrived; zero if it did not say
	Attempt  int           // attempts begun, and retries that layers before have made
	Tried    []string      // targets that have had an attempt
}

// Flow names the queue that the request waits in.
func (r Request) Flow() string {
	return r.Caller + "\x00" + r.Rule.Name
}
