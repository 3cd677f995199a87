package service

import (
	"net/netip"
	"time"
)

// Service is what an operator's service record says.
type Service struct {
	Name        string
	Targets     []Target
	Slots       int           // requests that one target runs at a time
	Connections int           // connections that one target accepts, from all entries together
	MaxEntries  int           // largest number of entries that share the limits
	ConnectCost time.Duration // target time for each new connection
	ProbePath   string        // path of the load probe; empty turns probes off
	ProbeCost   time.Duration // target time for each probe
	ProbeBudget time.Duration // target time for probes, for each target and second, from all entries together
	LoadHeader  string        // answer header that carries a load report; empty when there is none
	DrainHeader string        // answer header by which a target says that it is leaving
	Ramp        time.Duration // time over which a new target reaches its full share
	Asked       int           // targets that are asked for their load before each choice; zero leaves it to what is known
	Subset      int           // targets that one entry asks; zero is all of them

	ExtraRatio float64 // extra attempts for each request, over all rules; used if ExtraBurst is set
	ExtraBurst float64 // most extra attempts that one entry saves up; zero leaves the budgets to the rules
}

// Target is one server of a service.
type Target struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Instance   string    // by which the target knows itself; empty if it is not told whom a request is meant for
	Started    time.Time // tells two incarnations with one name apart; zero if unknown
	ColdUntil  time.Time // end of the time in which the target is slow after its start
	Leaving    bool
	Doubtful   bool // may be gone, so that it takes work only while it reports that it is well
}

// ProbesPerEntry returns how many probes one entry may send to one target in any second.
func (s Service) ProbesPerEntry() int {
	if s.ProbePath == "" || s.ProbeCost <= 0 || s.MaxEntries <= 0 {
		return 0
	}
	return int(s.ProbeBudget/s.ProbeCost) / s.MaxEntries
}

// ConnectionsPerEntry returns how many connections one entry may hold to one target.
func (s Service) ConnectionsPerEntry() int {
	if s.MaxEntries <= 0 {
		return s.Connections
	}
	return s.Connections / s.MaxEntries
}
