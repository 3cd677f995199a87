package snapshot

import (
	"time"

	"poplarworks/core/targetstate"
)

// Service is the state that the balancer of one service decides by.
type Service struct {
	Name              string
	Picker            string
	Waiting           int     // requests that wait for a target
	Queued            [3]int  // lengths of the short, long and late queues
	Standing          [3]bool // whether each queue is standing, so that it serves the newest request first
	FinishedPerSecond float64 // attempts finished per second
	Ejected           int     // number of ejected targets
	Targets           []Target
	Rules             []Rule
}

// Target is the state of one target as this balancer sees it.
type Target struct {
	Name              string
	Address           string
	State             targetstate.State
	Stopped           bool
	Removed           bool
	Open              bool          // whether it gets new requests at all
	InFlight          int           // requests of this entry
	LongInFlight      int           // long requests of this entry in flight
	PeersLongInFlight int           // long requests of other entries in flight, as they report them
	EstimatedLoad     float64       // estimated requests in flight of all entries together
	ReportAge         time.Duration // time since the latest load report
	Slowness          float64       // how many times longer than expected an answer probably takes
	ErrorShare        float64
	Limit             float64 // current concurrency limit
	RateLimit         float64 // requests per second that the target accepts from all entries together; negative if it names no limit
	Cost              float64 // expected time to an answer as a multiple of that of an idle, healthy target
	Sent              uint64
	ProbesSpent       int
}

// Rule is what the balancer has measured for one rule.
type Rule struct {
	Name           string
	TypicalLatency time.Duration // typical latency
	SlowLatency    time.Duration // latency quantile after which a request is hedged
	Samples        int
	RetryTokens    float64
	Retries        uint64
	HedgeTokens    float64
	Hedges         uint64
}
