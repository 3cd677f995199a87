package roster

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"poplarworks/core/membership"
	"poplarworks/core/rank"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
)

const (
	settle     = 400 * time.Millisecond // in which the other entries of a fleet that starts anew have enrolled, too
	retryEvery = time.Second
	lookEvery  = 20 * time.Second // between looks at the list of an entry that reads the store anyhow
)

type store interface {
	Enrol(ctx context.Context, m membership.Member) error
	Members(ctx context.Context) ([]membership.Member, error)
}

// Roster holds the entries that have enrolled; its exported fields are set before Run.
type Roster struct {
	*common.Common
	Store     store
	Peer      netip.AddrPort // where this entry can be followed
	Bandwidth int            // Mbit/s of this entry's link; those with wide links read for the others
	NewFleet  bool           // all entries start for the first time
	Reading   func() bool    // whether this entry reads the store anyhow
	OnChanged func()         // called when the list has changed

	mu      sync.Mutex
	members []membership.Member
}

// Run enrols this entry and follows the list until the context ends.
func (r *Roster) Run(ctx context.Context) {
	if !r.NewFleet {
		r.look(ctx)
	}
	if !r.enrolled() {
		r.enrol(ctx)
		pause.Sleep(ctx, settle)
		r.look(ctx)
	}
	for ctx.Err() == nil {
		pause.Sleep(ctx, lookEvery)
		if r.Reading() {
			r.look(ctx)
		}
	}
}

func (r *Roster) self() membership.Member {
	return membership.Member{Name: r.Settings.Name, Peer: r.Peer, DataCentre: r.Settings.DataCentre, Bandwidth: r.Bandwidth}
}

func (r *Roster) enrol(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.Store.Enrol(ctx, r.self())
		if err == nil {
			r.Log("roster").WithField("peer", r.Peer).Info("This entry has enrolled.")
			return
		}
		r.Log("roster").WithError(err).Warn("This entry cannot enrol yet.")
		pause.Sleep(ctx, retryEvery)
	}
}

// look reads the list; a list that cannot be read leaves the former one.
func (r *Roster) look(ctx context.Context) {
	members, err := r.Store.Members(ctx)
	if err != nil {
		r.Log("roster").WithError(err).Warn("The list of entries cannot be read.")
		return
	}
	r.mu.Lock()
	changed := len(members) != len(r.members)
	r.members = members
	r.mu.Unlock()
	if changed {
		r.Log("roster").WithField("entries", len(members)).Info("The list of entries has changed.")
		r.OnChanged()
	}
}

func (r *Roster) enrolled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.members, func(m membership.Member) bool {
		return m.Name == r.Settings.Name && m.Peer == r.Peer && m.DataCentre == r.Settings.DataCentre && m.Bandwidth == r.Bandwidth
	})
}

// Members returns the entries on the list, this one included.
func (r *Roster) Members() []membership.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.members)
}

// Size returns the number of entries, or zero while it is not known.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// First reports whether the list is known and this entry comes first in its data centre.
func (r *Roster) First() bool {
	return r.Size() > 0 && len(r.Leaders()) == 0
}

// Leaders returns the entries of this data centre that come before this one, in order.
func (r *Roster) Leaders() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers, bandwidth := map[string]netip.AddrPort{}, map[string]int{r.Settings.Name: r.Bandwidth}
	names := []string{r.Settings.Name}
	for _, m := range r.members {
		if m.DataCentre == r.Settings.DataCentre && m.Name != r.Settings.Name {
			peers[m.Name], bandwidth[m.Name] = m.Peer, m.Bandwidth
			names = append(names, m.Name)
		}
	}
	if len(r.members) == 0 {
		return nil
	}
	ordered := rank.Order(r.Settings.DataCentre, names)
	slices.SortStableFunc(ordered, func(x, y string) int { return bandwidth[y] - bandwidth[x] })
	var leaders []netip.AddrPort
	for _, name := range ordered {
		if name == r.Settings.Name {
			break
		}
		leaders = append(leaders, peers[name])
	}
	return leaders
}
