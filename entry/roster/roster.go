package roster

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"poplarworks/core/absence"
	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/rank"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
	"poplarworks/entry/reach"
)

const (
	settle      = 400 * time.Millisecond // in which the other entries of a fleet that starts anew have enrolled, too
	retryEvery  = time.Second
	lookEvery   = 20 * time.Second       // between looks at the list of an entry that reads the store anyhow
	goneAfter   = 15                     // looks in a row, five minutes, in which an entry was silent: a VM that is restarted is back long before
	dialTimeout = 250 * time.Millisecond // a VM of the same data centre answers within a millisecond
)

type store interface {
	Enrol(ctx context.Context, m membership.Member) error
	Strike(ctx context.Context, m membership.Member) error
	Entries(ctx context.Context) (entrylist.List, error)
}

// Roster holds the entries that have enrolled; its exported fields are set before Run.
type Roster struct {
	*common.Common
	Store     store
	Peer      netip.AddrPort         // where this entry can be followed
	Bandwidth int                    // Mbit/s of this entry's link; those with wide links read for the others
	NewFleet  bool                   // all entries start for the first time
	Reading   func() bool            // whether this entry reads the store anyhow
	Followed  func(name string) bool // whether an entry follows this one
	OnChanged func(l entrylist.List) // called when the list has changed

	mu      sync.Mutex
	list    entrylist.List
	absence absence.Counter
}

// Run enrols this entry and follows the list until the context ends.
func (r *Roster) Run(ctx context.Context) {
	r.absence.Looks = goneAfter
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
		r.maintain(ctx)
	}
}

// maintain reads the list if this entry reads the store anyhow, and mends what is wrong with it.
func (r *Roster) maintain(ctx context.Context) {
	if r.Reading() {
		r.look(ctx)
	}
	if !r.enrolled() {
		r.Log("roster").Warn("This entry is not on the list of entries.")
		r.enrol(ctx)
	}
	if r.First() {
		r.strike(ctx)
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
	list, err := r.Store.Entries(ctx)
	if err != nil {
		r.Log("roster").WithError(err).Warn("The list of entries cannot be read.")
		return
	}
	r.Take(list)
}

// Take puts a list in force that was read here or by the leader, unless it is older than the one held.
func (r *Roster) Take(list entrylist.List) {
	r.mu.Lock()
	if list.Version < r.list.Version {
		r.mu.Unlock()
		return
	}
	changed := !list.Same(r.list)
	r.list = list
	r.mu.Unlock()
	if changed {
		r.Log("roster").WithField("entries", len(list.Members)).WithField("version", list.Version).Info("The list of entries has changed.")
		r.OnChanged(list)
	}
}

// strike takes entries of this data centre off the list that have been silent for long, so that budgets are not divided among VMs
// that are no more. One that was only cut off enrols again.
func (r *Roster) strike(ctx context.Context) {
	members := map[string]membership.Member{}
	var names []string
	for _, m := range r.Members() {
		if m.DataCentre == r.Settings.DataCentre && m.Name != r.Settings.Name {
			members[m.Name] = m
			names = append(names, m.Name)
		}
	}
	gone := r.absence.Look(names, func(name string) bool { return r.Followed(name) || reach.Dial(ctx, members[name].Peer, dialTimeout) })
	for _, name := range gone {
		log := r.Log("roster").WithField("entry", name).WithField("looks", goneAfter)
		if err := r.Store.Strike(ctx, members[name]); err != nil {
			log.WithError(err).Warn("An entry that has been silent cannot be taken off the list yet.")
			continue
		}
		log.Info("An entry that has been silent is taken off the list.")
	}
}

func (r *Roster) enrolled() bool {
	return r.List().Has(r.self())
}

// List returns the list in force.
func (r *Roster) List() entrylist.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return entrylist.List{Version: r.list.Version, Members: slices.Clone(r.list.Members)}
}

// Members returns the entries on the list, this one included.
func (r *Roster) Members() []membership.Member {
	return r.List().Members
}

// Size returns the number of entries, or zero while it is not known.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.Members)
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
	for _, m := range r.list.Members {
		if m.DataCentre == r.Settings.DataCentre && m.Name != r.Settings.Name {
			peers[m.Name], bandwidth[m.Name] = m.Peer, m.Bandwidth
			names = append(names, m.Name)
		}
	}
	if len(r.list.Members) == 0 {
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
