package plan

import "time"

// Plan says what to start.
type Plan struct {
	Entries        int
	Groups         []Group
	VMListLag      time.Duration
	Picker         string // of the entries; empty for the product's own
	Choices        int    // targets that it compares; zero for the product's own
	OracleGroup    string // group whose true load the oracle reads
	NoAsserts      bool   // without assertions, for measurements of cost
	PeerProxies    bool   // a fault-injecting proxy between each two entries
	StoreProxies   bool   // one between each entry and the platform
	TokenFile      string
	DrainGrace     time.Duration
	MaxConnections int
	LogLevel       string
	Cores          int    // processor cores that each entry may use; zero for all
	Tags           string // build tags of the programs
	Extra          string // further fields of the entries' settings
}

// Group is the targets of one service.
type Group struct {
	Name        string
	Count       int
	Slots       int
	Connections int
	Queue       int
	Work        time.Duration
	ConnectCost time.Duration
	ProbeCost   time.Duration
	ReportLag   time.Duration
	Restart     time.Duration
	ColdFor     time.Duration
	ColdFactor  float64
	NoiseQuiet  time.Duration
	NoiseNoisy  time.Duration
	NoiseFactor float64
	Seed        uint64
}
