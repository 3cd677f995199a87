package plan

import "time"

// Plan describes a fleet to start.
type Plan struct {
	Entries           int
	Groups            []Group
	VMListLag         time.Duration
	Picker            string // picker of the entries; empty for the default
	Choices           int    // number of targets that the picker compares; zero for the default
	OracleGroup       string // name of the group whose actual load the oracle reads
	DisableAssertions bool   // turns the assertions of invariants off, when cost is measured
	PeerProxies       bool   // puts a fault-injecting proxy between each two entries
	StoreProxies      bool   // puts a fault-injecting proxy between each entry and the platform
	TokenFile         string
	DrainGrace        time.Duration
	MaxConnections    int
	LogLevel          string
	Cores             int    // processor cores that each entry may use; zero for all
	Tags              string // build tags for the programs
	ExtraSettings     string // further fields of the entries' settings
}

// Group describes the targets of one service.
type Group struct {
	Name         string
	Count        int
	Slots        int
	Connections  int
	Queue        int
	Work         time.Duration
	ConnectCost  time.Duration
	ProbeCost    time.Duration
	ReportLag    time.Duration
	RestartAfter time.Duration
	ColdFor      time.Duration
	ColdFactor   float64
	NoiseQuiet   time.Duration
	NoiseNoisy   time.Duration
	NoiseFactor  float64
	Seed         uint64
}
