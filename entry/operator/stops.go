package operator

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"poplarworks/core/code"
	"poplarworks/core/membership"
	"poplarworks/core/memberstate"
	"poplarworks/core/record"
	"poplarworks/core/stop"
	"poplarworks/entry/peer"
)

type wireStopStatus struct {
	Name     string         `json:"name"`
	Service  string         `json:"service,omitempty"`
	Target   string         `json:"target,omitempty"`
	Entry    string         `json:"entry,omitempty"`
	Revision uint64         `json:"revision"`
	InForce  bool           `json:"in-force"`
	InFlight int            `json:"in-flight"`
	Drained  bool           `json:"drained"`
	Entries  []wireInFlight `json:"entries"`
	Missing  []string       `json:"not-heard-from"`
}

type wireInFlight struct {
	Entry      string `json:"entry"`
	InFlight   int    `json:"in-flight"`
	AcceptsNew bool   `json:"open"`
	Revision   uint64 `json:"revision"`
}

// stopStatus responds with the requests that every entry has in flight at the stopping target or entry.
func (s *Server) stopStatus(w http.ResponseWriter, r *http.Request) {
	rec, ok := s.Records.Catalog().Get(record.Key{Kind: record.KindStop, Name: r.PathValue("name")})
	if !ok || rec.Deleted {
		writeRefusal(w, code.NotFound, "")
		return
	}
	status := wireStopStatus{
		Name:     rec.Key.Name,
		Service:  rec.Stop.Service,
		Target:   rec.Stop.Target,
		Entry:    rec.Stop.Entry,
		Revision: rec.Revision,
		InForce:  rec.Stop.InForce(s.Now()),
		Missing:  []string{},
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	status.Entries, status.Missing = s.collectInFlight(ctx, *rec.Stop)
	status.setDrained()
	writeJSON(w, status)
}

// setDrained sets the total in flight. Drained is true only when every entry has replied, the stop is in force at all
// of them, and none has requests in flight or accepts new ones.
func (s *wireStopStatus) setDrained() {
	s.Drained = s.InForce && len(s.Missing) == 0 && len(s.Entries) > 0
	for _, report := range s.Entries {
		s.InFlight += report.InFlight
		if report.InFlight > 0 || report.AcceptsNew || report.Revision < s.Revision {
			s.Drained = false
		}
	}
}

// collectInFlight queries the entry that stops, or all entries about a target that stops. It returns the names of
// those that do not reply as missing.
func (s *Server) collectInFlight(ctx context.Context, planned stop.Stop) (entries []wireInFlight, missing []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	add := func(report peer.InFlightReport, name string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, name)
			return
		}
		entries = append(entries, wireInFlight{Entry: name, InFlight: report.InFlight, AcceptsNew: report.AcceptsNew, Revision: report.Revision})
	}
	if planned.Entry == "" || planned.Entry == s.Settings.Name {
		add(s.OwnInFlight(planned.Service, planned.Target), s.Settings.Name, nil)
	}
	queried := planned.Entry == s.Settings.Name
	for _, m := range s.Peers.Members() {
		if !mayHaveRequests(m, planned) {
			continue
		}
		queried = true
		group.Go(func() {
			report, err := s.Peers.FetchInFlight(ctx, m.Name, planned.Service, planned.Target)
			add(report, m.Name, err)
		})
	}
	group.Wait()
	if planned.Entry != "" && !queried {
		missing = append(missing, planned.Entry)
	}
	slices.SortFunc(entries, func(a, b wireInFlight) int { return strings.Compare(a.Entry, b.Entry) })
	slices.Sort(missing)
	if missing == nil {
		missing = []string{}
	}
	return entries, missing
}

// mayHaveRequests reports whether a member may have requests in flight. A member whose heartbeats are overdue may
// still have some, unless it is dead and no longer listed.
func mayHaveRequests(m membership.Member, planned stop.Stop) bool {
	if planned.Entry != "" {
		return m.Name == planned.Entry
	}
	return m.Listed || m.State != memberstate.Dead
}
