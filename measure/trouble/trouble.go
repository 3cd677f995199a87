package trouble

// Platform holds the faults of one part of the stand-in platform.
type Platform struct {
	Outage            bool    `json:"outage"`
	Hang              bool    `json:"hang"`
	DelayMilliseconds int     `json:"delay-ms"`
	LoseAnswers       float64 `json:"lose-answers"`
}

// Target holds the faults of one stand-in target.
type Target struct {
	SlowFactor float64 `json:"slow-factor"`
	FailFast   bool    `json:"fail-fast"`
	Shed       bool    `json:"shed"`
	Drain      bool    `json:"drain"`
	Lie        bool    `json:"lie"`
	Hang       bool    `json:"hang"`
}
