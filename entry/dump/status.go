package dump

import "encoding/json"

type wireStatus struct {
	Entry      string     `json:"entry"`
	DataCentre string     `json:"data-centre"`
	State      string     `json:"state"`
	Revision   uint64     `json:"revision"`
	StoreDown  bool       `json:"store-down"`
	InFlight   int        `json:"requests-in-flight"`
	Claims     int        `json:"claims-in-hand"`
	Peers      []wirePeer `json:"peers"`
	Alarms     []string   `json:"alarms"`
}

type wirePeer struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Listed   bool   `json:"listed"`
}

// StatusJSON returns a summary of the state as JSON, with the alarms.
func (d *Dumper) StatusJSON() []byte {
	status := wireStatus{
		Entry:      d.Settings.Name,
		DataCentre: d.Settings.DataCentre,
		State:      string(d.State()),
		Revision:   d.Revision(),
		StoreDown:  d.StoreDown(),
		InFlight:   d.InFlight(),
		Claims:     len(d.Claims()),
		Peers:      []wirePeer{},
		Alarms:     d.alarms(),
	}
	for _, m := range d.Members() {
		status.Peers = append(status.Peers, wirePeer{Name: m.Name, State: string(m.State), Revision: m.Revision, Listed: m.Listed})
	}
	data, err := json.MarshalIndent(status, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return data
}
