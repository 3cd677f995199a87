package membership

import (
	"testing"
	"time"

	"poplarworks/core/memberstate"
)

func state(m *Members, name string) memberstate.State {
	for _, member := range m.All() {
		if member.Name == name {
			return member.State
		}
	}
	return "forgotten"
}

func TestMembers(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	hear := func(m *Members, after time.Duration, incarnation, sequence uint64) bool {
		return m.ReceiveHeartbeat(start.Add(after), Heartbeat{Name: "b", Incarnation: incarnation, Sequence: sequence})
	}
	scenarios := []struct {
		name       string
		steps      func(m *Members)
		checkAfter time.Duration
		want       memberstate.State
	}{
		{"listed and no heartbeat yet", func(m *Members) { m.SetList(start, []Member{{Name: "b"}}) }, time.Second, memberstate.Listed},
		{"listed and no heartbeat for a minute", func(m *Members) { m.SetList(start, []Member{{Name: "b"}}) }, time.Minute, memberstate.Dead},
		{"heard", func(m *Members) { hear(m, 0, 1, 1) }, time.Second, memberstate.Alive},
		{"overdue", func(m *Members) { hear(m, 0, 1, 1) }, 3 * time.Second, memberstate.Suspect},
		{"silent", func(m *Members) { hear(m, 0, 1, 1) }, 11 * time.Second, memberstate.Dead},
		{"heartbeats resume", func(m *Members) {
			hear(m, 0, 1, 1)
			m.Tick(start.Add(11 * time.Second))
			hear(m, 12*time.Second, 1, 2)
		}, 13 * time.Second, memberstate.Alive},
		{"no heartbeat for an hour and not listed", func(m *Members) { hear(m, 0, 1, 1) }, time.Hour, "forgotten"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := &Members{Self: "a"}
			s.steps(m)
			m.Tick(start.Add(s.checkAfter))
			if got := state(m, "b"); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}

func TestOldHeartbeatsAreIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := &Members{Self: "a"}
	scenarios := []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"the first heartbeat", 5, 3, true},
		{"the same heartbeat again", 5, 3, false},
		{"an earlier heartbeat", 5, 2, false},
		{"a former incarnation, resumed after a pause", 4, 100, false},
		{"a later incarnation", 6, 1, true},
	}
	for _, s := range scenarios {
		if got := m.ReceiveHeartbeat(now, Heartbeat{Name: "b", Incarnation: s.incarnation, Sequence: s.sequence}); got != s.want {
			t.Errorf("%s: got %t, want %t", s.name, got, s.want)
		}
	}
	if m.ReceiveHeartbeat(now, Heartbeat{Name: "a", Incarnation: 9, Sequence: 9}) {
		t.Error("got the entry's own heartbeat accepted, want it ignored")
	}
}
