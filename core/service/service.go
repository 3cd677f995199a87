package service

import (
	"net/netip"
	"time"
)

// Service is the content of a service record.
type Service struct {
	Name             string
	Targets          []Target
	Slots            int           // requests that one target runs concurrently
	Connections      int           // connections that one target accepts, from all entries together
	Entries          []Entry       // all entries, sorted by name; empty while they are not known
	AssumedEntries   int           // number of entries to assume while they are not known; zero means that this one is alone
	MaxEntries       int           // largest number of entries, among which the limits are divided
	ConnectCost      time.Duration // time that a new connection costs the target
	ProbePath        string        // path of the load probe; empty turns probes off
	ProbeCost        time.Duration // time that a probe costs the target
	ProbeBudget      time.Duration // time per second that probes of all entries together may cost one target
	LoadHeader       string        // answer header that carries a load report; empty if there is none
	DrainHeader      string        // answer header by which a target announces that it is leaving
	SlowStart        time.Duration // slow-start time in which a new target reaches its full share
	LoadProbes       int           // targets asked for their load before each choice; zero decides by the known load alone
	MaxProbedTargets int           // number of targets that one entry asks; zero means all

	ExtraRatio float64 // extra attempts allowed per request, over all rules; used if ExtraBurst is set
	ExtraBurst float64 // unused extra attempts that one entry may accumulate; zero leaves the budgets to the rules
}

// Target is one back end of a service.
type Target struct {
	Name         string
	Address      netip.AddrPort
	DataCentre   string
	Instance     string    // identity that requests carry, for the target to check; empty if they carry none
	Started      time.Time // distinguishes incarnations with the same name; zero if unknown
	WarmupEndsAt time.Time // end of the warm-up, in which the target is slow after its start
	Leaving      bool      // takes no new requests and finishes those in flight
	Unconfirmed  bool      // may have stopped, so it gets requests only while it reports that it is healthy
}

// Entry is one of the entries that send to the targets.
type Entry struct {
	Name       string
	DataCentre string
}

// ProbesPerEntry returns how many probes per second one entry may send to one target.
func (s Service) ProbesPerEntry() int {
	if s.ProbePath == "" || s.ProbeCost <= 0 || s.MaxEntries <= 0 {
		return 0
	}
	return int(s.ProbeBudget/s.ProbeCost) / s.MaxEntries
}

// ConnectionsPerEntry returns how many connections one entry may open to one target.
func (s Service) ConnectionsPerEntry() int {
	if s.MaxEntries <= 0 {
		return s.Connections
	}
	return s.Connections / s.MaxEntries
}
