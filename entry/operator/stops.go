package operator

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"poplarworks/core/code"
	"poplarworks/core/memberlife"
	"poplarworks/core/membership"
	"poplarworks/core/record"
	"poplarworks/core/stop"
	"poplarworks/entry/peer"
)

type wireStopStatus struct {
	Name     string     `json:"name"`
	Service  string     `json:"service,omitempty"`
	Target   string     `json:"target,omitempty"`
	Entry    string     `json:"entry,omitempty"`
	Revision uint64     `json:"revision"`
	InForce  bool       `json:"in-force"`
	InFlight int        `json:"in-flight"`
	Drained  bool       `json:"drained"`
	Entries  []wireWork `json:"entries"`
	Missing  []string   `json:"not-heard-from"`
}

type wireWork struct {
	Entry    string `json:"entry"`
	InFlight int    `json:"in-flight"`
	Open     bool   `json:"open"`
	Revision uint64 `json:"revision"`
}

// stopStatus asks every entry for the work that is in flight at what is stopping.
func (s *Server) stopStatus(w http.ResponseWriter, r *http.Request) {
	rec, ok := s.Records.Catalog().Get(record.Key{Kind: record.KindStop, Name: r.PathValue("name")})
	if !ok || rec.Deleted {
		refuse(w, code.NotFound, "")
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
	ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	status.Entries, status.Missing = s.askWork(ctx, *rec.Stop)
	status.judge()
	answer(w, status)
}

// judge says drained only when every entry has answered, with the stop in force there and nothing in flight.
func (s *wireStopStatus) judge() {
	s.Drained = s.InForce && len(s.Missing) == 0 && len(s.Entries) > 0
	for _, work := range s.Entries {
		s.InFlight += work.InFlight
		if work.InFlight > 0 || work.Open || work.Revision < s.Revision {
			s.Drained = false
		}
	}
}

// askWork asks the entry that stops, or all entries about a target that stops; it names those that do not answer.
func (s *Server) askWork(ctx context.Context, planned stop.Stop) (entries []wireWork, missing []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	add := func(work peer.Work, name string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			missing = append(missing, name)
			return
		}
		entries = append(entries, wireWork{Entry: name, InFlight: work.InFlight, Open: work.Open, Revision: work.Revision})
	}
	if planned.Entry == "" || planned.Entry == s.Settings.Name {
		add(s.OwnWork(planned.Service, planned.Target), s.Settings.Name, nil)
	}
	asked := planned.Entry == s.Settings.Name
	for _, m := range s.Peers.Members() {
		if !concerned(m, planned) {
			continue
		}
		asked = true
		group.Go(func() {
			work, err := s.Peers.AskWork(ctx, m.Name, planned.Service, planned.Target)
			add(work, m.Name, err)
		})
	}
	group.Wait()
	if planned.Entry != "" && !asked {
		missing = append(missing, planned.Entry)
	}
	slices.SortFunc(entries, func(a, b wireWork) int { return strings.Compare(a.Entry, b.Entry) })
	slices.Sort(missing)
	if missing == nil {
		missing = []string{}
	}
	return entries, missing
}

// concerned reports whether a member may hold work: one that is silent may still be at it, unless it is long gone.
func concerned(m membership.Member, planned stop.Stop) bool {
	if planned.Entry != "" {
		return m.Name == planned.Entry
	}
	return m.Listed || m.State != memberlife.Dead
}
