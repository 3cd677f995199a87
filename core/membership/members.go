package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"poplarworks/core/memberlife"
)

const (
	suspectAfter = 2500 * time.Millisecond
	deadAfter    = 10 * time.Second
	forgetAfter  = 10 * time.Minute
)

// Heartbeat is what an entry says of itself.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	Sequence    uint64
	Revision    uint64
	Leaving     bool
}

// Member is one entry as seen from here.
type Member struct {
	Name        string
	Peer        netip.AddrPort
	DataCentre  string
	Bandwidth   int // Mbit/s of its link, if known
	State       memberlife.State
	Incarnation uint64
	Revision    uint64
	Leaving     bool
	Listed      bool   // by the platform, at the last look
	Row         uint64 // version of its row on that list, if the list has versions
	HeardAt     time.Time

	sequence  uint64
	addedAt   time.Time
	lifecycle *memberlife.Machine
}

// Members holds the entries other than this one; it is not safe for concurrent use.
type Members struct {
	Self string

	members map[string]*Member
}

// SetList takes the platform's list; an entry that the list has lost stays while its heartbeats come.
func (m *Members) SetList(now time.Time, listed []Member) {
	for _, held := range m.members {
		held.Listed = false
	}
	for _, l := range listed {
		if l.Name == m.Self {
			continue
		}
		held := m.get(now, l.Name)
		held.Peer, held.DataCentre, held.Listed = l.Peer, l.DataCentre, true
	}
}

func (m *Members) get(now time.Time, name string) *Member {
	if m.members == nil {
		m.members = map[string]*Member{}
	}
	held, ok := m.members[name]
	if !ok {
		held = &Member{Name: name, addedAt: now, lifecycle: &memberlife.Machine{}}
		m.members[name] = held
	}
	return held
}

// Hear takes a heartbeat, and reports whether it is of the newest incarnation known and in order.
func (m *Members) Hear(now time.Time, h Heartbeat) bool {
	if h.Name == m.Self {
		return false
	}
	held := m.get(now, h.Name)
	if h.Incarnation < held.Incarnation {
		return false
	}
	if h.Incarnation == held.Incarnation && h.Sequence <= held.sequence {
		return false
	}
	held.Incarnation, held.sequence = h.Incarnation, h.Sequence
	held.Revision, held.Leaving, held.HeardAt = h.Revision, h.Leaving, now
	held.lifecycle.Hear()
	return true
}

// Tick moves members whose heartbeats are overdue, and forgets those that are dead and no longer listed.
func (m *Members) Tick(now time.Time) {
	for name, held := range m.members {
		since := held.HeardAt
		if since.IsZero() {
			since = held.addedAt
		}
		silence := now.Sub(since)
		if silence >= suspectAfter {
			held.lifecycle.Miss()
		}
		if silence >= deadAfter {
			held.lifecycle.Expire()
		}
		if silence >= forgetAfter && !held.Listed {
			delete(m.members, name)
		}
	}
}

// All returns the members in order of their names.
func (m *Members) All() []Member {
	all := make([]Member, 0, len(m.members))
	for _, held := range m.members {
		seen := *held
		seen.State = held.lifecycle.State()
		all = append(all, seen)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}
