package entrystatus

// Status is the status that an entry reports.
type Status struct {
	State     string   `json:"state"`
	Revision  uint64   `json:"revision"`
	StoreDown bool     `json:"store-down"`
	InFlight  int      `json:"requests-in-flight"`
	Peers     []Peer   `json:"peers"`
	Alarms    []string `json:"alarms"`
}

// Peer is the state of another entry, as the reporting entry knows it.
type Peer struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}
