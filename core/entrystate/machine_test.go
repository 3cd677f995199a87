package entrystate

import (
	"testing"
	"time"
)

func TestMachine(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	scenarios := []struct {
		name  string
		steps func(m *Machine)
		want  State
	}{
		{"new", func(*Machine) {}, Starting},
		{"with records", func(m *Machine) { m.Loaded() }, Serving},
		{"stopping", func(m *Machine) { m.Loaded(); m.Stop(start, false) }, Grace},
		{"within the grace time", func(m *Machine) { m.Loaded(); m.Stop(start, false); m.Tick(start.Add(time.Second)) }, Grace},
		{"after the grace time", func(m *Machine) { m.Loaded(); m.Stop(start, false); m.Tick(start.Add(time.Minute)) }, Refusing},
		{"withdrawn", func(m *Machine) { m.Loaded(); m.Stop(start, false); m.Tick(start.Add(time.Minute)); m.Withdraw() }, Serving},
		{"final", func(m *Machine) { m.Loaded(); m.Stop(start, true); m.Withdraw() }, Grace},
		{"a second stop does not extend the grace time", func(m *Machine) {
			m.Loaded()
			m.Stop(start, false)
			m.Stop(start.Add(4*time.Second), false)
			m.Tick(start.Add(5 * time.Second))
		}, Refusing},
		{"closed", func(m *Machine) { m.Loaded(); m.Stop(start, true); m.Tick(start.Add(time.Minute)); m.Close() }, Closed},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := &Machine{GraceTime: 5 * time.Second}
			s.steps(m)
			if got := m.State(); got != s.want {
				t.Errorf("got %s, want %s", got, s.want)
			}
		})
	}
}
