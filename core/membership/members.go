package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"poplarworks/core/memberstate"
)

// Times without a heartbeat after which a member changes its state or, if it is no longer listed, is forgotten.
const (
	suspectTimeout = 2500 * time.Millisecond
	deadTimeout    = 10 * time.Second
	forgetTimeout  = 10 * time.Minute
)

// Heartbeat is the periodic message in which an entry reports its own state.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Revision    uint64
	Leaving     bool
}

// Member is the state of another entry as this entry sees it.
type Member struct {
	Name          string
	Peer          netip.AddrPort
	DataCentre    string
	Bandwidth     int // bandwidth of its link in Mbit/s; 0 if unknown
	State         memberstate.State
	Incarnation   uint64
	Revision      uint64
	Leaving       bool
	Listed        bool      // whether the platform's latest list contains it
	ListVersion   uint64    // version of its row on the platform's list; 0 if the list has no versions
	LastHeartbeat time.Time // when the latest heartbeat arrived

	sequence  uint64
	addedAt   time.Time
	lifecycle *memberstate.Machine
}

// Members holds the entries other than this one. It is not safe for concurrent use.
type Members struct {
	Self string // name of this entry

	members map[string]*Member
}

// SetList applies the platform's list. An entry that is no longer listed stays a member as long as its heartbeats
// arrive.
func (m *Members) SetList(now time.Time, listed []Member) {
	for _, member := range m.members {
		member.Listed = false
	}
	for _, l := range listed {
		if l.Name == m.Self {
			continue
		}
		member := m.getOrAdd(now, l.Name)
		member.Peer, member.DataCentre, member.Listed = l.Peer, l.DataCentre, true
	}
}

// getOrAdd returns the member with the name and adds it if it is new.
func (m *Members) getOrAdd(now time.Time, name string) *Member {
	if m.members == nil {
		m.members = map[string]*Member{}
	}
	member, ok := m.members[name]
	if !ok {
		member = &Member{Name: name, addedAt: now, lifecycle: &memberstate.Machine{}}
		m.members[name] = member
	}
	return member
}

// ReceiveHeartbeat applies a heartbeat. It returns false and ignores the heartbeat if that comes from this entry, from
// an older incarnation or out of order.
func (m *Members) ReceiveHeartbeat(now time.Time, h Heartbeat) bool {
	if h.Name == m.Self {
		return false
	}
	member := m.getOrAdd(now, h.Name)
	if h.Incarnation < member.Incarnation {
		return false
	}
	if h.Incarnation == member.Incarnation && h.Sequence <= member.sequence {
		return false
	}
	member.Incarnation, member.sequence = h.Incarnation, h.Sequence
	member.Revision, member.Leaving, member.LastHeartbeat = h.Revision, h.Leaving, now
	member.lifecycle.HeartbeatReceived()
	return true
}

// Tick updates the state of members whose heartbeats are overdue, and forgets those that are dead and no longer listed.
func (m *Members) Tick(now time.Time) {
	for name, member := range m.members {
		since := member.LastHeartbeat
		if since.IsZero() {
			since = member.addedAt
		}
		silence := now.Sub(since)
		if silence >= suspectTimeout {
			member.lifecycle.HeartbeatOverdue()
		}
		if silence >= deadTimeout {
			member.lifecycle.Expire()
		}
		if silence >= forgetTimeout && !member.Listed {
			delete(m.members, name)
		}
	}
}

// All returns the members, ordered by name.
func (m *Members) All() []Member {
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		snapshot := *member
		snapshot.State = member.lifecycle.State()
		all = append(all, snapshot)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}
