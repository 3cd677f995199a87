package roster

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"poplarworks/core/absence"
	"poplarworks/core/entrylist"
	"poplarworks/core/membership"
	"poplarworks/core/rank"
	"poplarworks/core/service"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
	"poplarworks/entry/reach"
)

const (
	fleetStartDelay = 400 * time.Millisecond // The other entries of a new fleet enrol within this time.
	retryInterval   = time.Second
	refreshInterval = 20 * time.Second       // Entries that read the store refresh the list at this interval.
	maxMissedChecks = 15                     // In a row, five minutes in all; a VM that is restarted is back long before.
	dialTimeout     = 250 * time.Millisecond // A VM of the same data centre answers within a millisecond.
	restoreDelay    = 2 * time.Second        // After a restore of the store, the other entries enrol again within this time.
	enrolCheckTick  = 50 * time.Millisecond
)

// store holds the list of entries.
type store interface {
	PutEntry(ctx context.Context, m membership.Member) error
	RemoveEntry(ctx context.Context, m membership.Member) error
	Entries(ctx context.Context) (entrylist.List, error)
}

// Roster enrols this entry and holds the list of entries. Its exported fields are set before Run.
type Roster struct {
	*common.Common
	Store       store
	Peer        netip.AddrPort         // Address at which this entry accepts followers.
	Bandwidth   int                    // Mbit/s of this entry's link. Entries with more bandwidth read the store for the others.
	NewFleet    bool                   // All entries start for the first time.
	ReadsStore  func() bool            // Reports whether this entry reads the store itself.
	HasFollower func(name string) bool // Reports whether the named entry follows this one.
	OnChange    func(l entrylist.List) // Called when the list has changed.

	mu       sync.Mutex
	list     entrylist.List // The list in force.
	stored   entrylist.List // The list as the store has it; after a restore entries may be missing that are in force.
	absence  absence.Counter
	restored chan struct{} // Signalled when the store was restored.
}

// Start must be called before all other methods.
func (r *Roster) Start() {
	r.restored = make(chan struct{}, 1)
}

// StoreRestored makes the roster enrol this entry again if the store has lost its row.
func (r *Roster) StoreRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Run enrols this entry if it is not on the list, and maintains the list until the context ends.
func (r *Roster) Run(ctx context.Context) {
	r.absence.FailureThreshold = maxMissedChecks
	if !r.NewFleet {
		r.refresh(ctx)
	}
	if !r.enrolled() {
		r.enrol(ctx)
		pause.Sleep(ctx, fleetStartDelay)
		r.refresh(ctx)
	}
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restored:
			r.enrolAfterRestore(ctx)
		case <-refresh.C:
			r.maintain(ctx)
		}
	}
}

// enrolAfterRestore enrols this entry again after a restore of the store, if its row is lost, and reads the list once the others have
// done the same. Until then the entries that were on the list before stay in force.
func (r *Roster) enrolAfterRestore(ctx context.Context) {
	if r.ReadsStore() {
		r.refresh(ctx)
	}
	pause.Until(ctx, restoreDelay, enrolCheckTick, func() bool { return !r.enrolled() })
	if !r.enrolled() {
		r.Log("roster").Warn("The restored store has lost the row of this entry; enrolling again.")
		r.enrol(ctx)
		r.mu.Lock()
		r.stored = r.stored.With([]membership.Member{r.self()})
		r.mu.Unlock()
	}
	pause.Sleep(ctx, restoreDelay)
	if r.ReadsStore() {
		r.refresh(ctx)
	}
}

// maintain refreshes the list if this entry reads the store itself, enrols this entry again if it is missing, and
// removes unreachable entries if this entry is the first of its data centre.
func (r *Roster) maintain(ctx context.Context) {
	if r.ReadsStore() {
		r.refresh(ctx)
	}
	if !r.enrolled() {
		r.Log("roster").Warn("This entry is missing from the list of entries; enrolling again.")
		r.enrol(ctx)
	}
	if r.IsLeader() {
		r.removeUnreachable(ctx)
	}
}

func (r *Roster) self() membership.Member {
	return membership.Member{Name: r.Settings.Name, Peer: r.Peer, DataCentre: r.Settings.DataCentre, Bandwidth: r.Bandwidth}
}

// enrol writes this entry to the store, and retries until it succeeds or the context ends.
func (r *Roster) enrol(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.Store.PutEntry(ctx, r.self())
		if err == nil {
			r.Log("roster").WithField("peer", r.Peer).Info("Enrolled this entry.")
			return
		}
		r.Log("roster").WithError(err).Warn("Failed to enrol this entry; retrying.")
		pause.Sleep(ctx, retryInterval)
	}
}

// refresh reads the list from the store. If that fails, the current list stays in force.
func (r *Roster) refresh(ctx context.Context) {
	list, err := r.Store.Entries(ctx)
	if err != nil {
		r.Log("roster").WithError(err).Warn("The list of entries could not be read.")
		return
	}
	r.Update(list)
}

// Update puts a list in force that this entry or its leader has read, unless it is older than the current one. The first
// list after a restore of the store may lack entries that enrolled after the copy was made, so these stay in force.
func (r *Roster) Update(list entrylist.List) {
	r.mu.Lock()
	if list.Version < r.stored.Version || list.Version == r.stored.Version && list.Same(r.stored) {
		r.mu.Unlock()
		return
	}
	inForce := list
	restored := len(r.list.Members) > 0 && list.Version.Era() > r.stored.Version.Era()
	if restored {
		inForce = list.With(r.list.Members)
	}
	changed := !inForce.Same(r.list) || !list.Same(r.stored)
	r.list, r.stored = inForce, list
	r.mu.Unlock()
	if changed {
		r.Log("roster").WithField("entries", len(inForce.Members)).WithField("stored", len(list.Members)).
			WithField("version", list.Version).Info("The list of entries has changed.")
	}
	if changed || restored {
		r.OnChange(list)
	}
	if restored && !list.Has(r.self()) {
		r.StoreRestored()
	}
}

// removeUnreachable removes entries of this data centre that neither follow this entry nor accept connections for
// maxMissedChecks checks in a row, so that budgets are not divided among VMs that no longer exist. An entry that was
// only partitioned enrols again.
func (r *Roster) removeUnreachable(ctx context.Context) {
	members := map[string]membership.Member{}
	var names []string
	for _, m := range r.Members() {
		if m.DataCentre == r.Settings.DataCentre && m.Name != r.Settings.Name {
			members[m.Name] = m
			names = append(names, m.Name)
		}
	}
	unreachable := r.absence.Check(names, func(name string) bool {
		return r.HasFollower(name) || reach.Reachable(ctx, members[name].Peer, dialTimeout)
	})
	for _, name := range unreachable {
		log := r.Log("roster").WithField("entry", name).WithField("looks", maxMissedChecks)
		if err := r.Store.RemoveEntry(ctx, members[name]); err != nil {
			log.WithError(err).Warn("Failed to remove an unreachable entry from the list; trying again at a later check.")
			continue
		}
		log.Info("Removed an unreachable entry from the list.")
	}
}

// enrolled reports whether the store has this entry with its current address, data centre and bandwidth.
func (r *Roster) enrolled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored.Has(r.self())
}

// List returns the list in force.
func (r *Roster) List() entrylist.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return entrylist.List{Version: r.list.Version, Members: slices.Clone(r.list.Members)}
}

// Stored returns the list as the store has it, for a follower.
func (r *Roster) Stored() entrylist.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return entrylist.List{Version: r.stored.Version, Members: slices.Clone(r.stored.Members)}
}

// Members returns the entries on the list, this one included.
func (r *Roster) Members() []membership.Member {
	return r.List().Members
}

// Size returns the number of entries, or zero while the list is not known.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.Members)
}

// Entries returns the entries on the list, sorted by name. It returns none while the list is not known.
func (r *Roster) Entries() []service.Entry {
	var entries []service.Entry
	for _, m := range r.Members() {
		entries = append(entries, service.Entry{Name: m.Name, DataCentre: m.DataCentre})
	}
	slices.SortFunc(entries, func(x, y service.Entry) int { return strings.Compare(x.Name, y.Name) })
	return entries
}

// IsLeader reports whether the list is known and no entry of this data centre comes before this one.
func (r *Roster) IsLeader() bool {
	return r.Size() > 0 && len(r.Leaders()) == 0
}

// Leaders returns the peer addresses of the entries of this data centre that come before this one, in order of
// preference. Entries with more bandwidth come first.
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
