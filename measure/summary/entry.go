package summary

// Entry is the summary that an entry gives of itself.
type Entry struct {
	State     string   `json:"state"`
	Revision  uint64   `json:"revision"`
	StoreDown bool     `json:"store-down"`
	InFlight  int      `json:"requests-in-flight"`
	Peers     []Peer   `json:"peers"`
	Alarms    []string `json:"alarms"`
}

// Peer is another entry in a summary.
type Peer struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}
