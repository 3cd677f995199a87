package snapshot

import (
	"time"

	"poplarworks/core/lifecycle"
)

// Service explains the decisions of one service.
type Service struct {
	Name     string
	Picker   string
	Waiting  int
	Queued   [3]int // short, long, late
	Standing [3]bool
	Finished float64 // attempts a second
	Ejected  int
	Targets  []Target
	Rules    []Rule
}

// Target explains how one target is seen.
type Target struct {
	Name        string
	Address     string
	State       lifecycle.State
	Stopped     bool
	Removed     bool
	Open        bool
	InFlight    int
	Long        int
	PeersLong   int
	Load        float64 // requests held by all entries, as estimated
	ReportAge   time.Duration
	Slowness    float64
	ErrorShare  float64
	Limit       float64
	Cost        float64
	Sent        uint64
	ProbesSpent int
}

// Rule shows what was learnt of one rule.
type Rule struct {
	Name        string
	Typical     time.Duration
	Slow        time.Duration
	Samples     int
	RetryTokens float64
	Retries     uint64
	HedgeTokens float64
	Hedges      uint64
}
