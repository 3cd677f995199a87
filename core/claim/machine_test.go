package claim

import (
	"testing"

	"poplarworks/core/code"
	"poplarworks/core/invariant"
)

func TestOnlyAHeldClaimMaySend(t *testing.T) {
	scenarios := []struct {
		name  string
		steps func(m *Machine)
		send  bool
		run   code.Execution
	}{
		{"fresh", func(*Machine) {}, false, code.NotRun},
		{"being written", func(m *Machine) { m.Write() }, false, code.NotRun},
		{"written", func(m *Machine) { m.Write(); m.Granted() }, true, code.NotRun},
		{"another's", func(m *Machine) { m.Write(); m.Yield() }, false, code.Unknown},
		{"not settled", func(m *Machine) { m.Write(); m.WriteUncertain() }, false, code.NotRun},
		{"sent", func(m *Machine) { m.Write(); m.Granted(); m.Send() }, false, code.Unknown},
		{"sent and proven not run", func(m *Machine) { m.Write(); m.Granted(); m.Send(); m.NotRun() }, true, code.NotRun},
		{"sent and ended without an answer", func(m *Machine) { m.Write(); m.Granted(); m.Send(); m.EndWithoutAnswer() }, false, code.Unknown},
		{"answered", func(m *Machine) { m.Write(); m.Granted(); m.Send(); m.Answer() }, false, code.Ran},
		{"released", func(m *Machine) { m.Write(); m.Granted(); m.Release() }, false, code.NotRun},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := &Machine{}
			s.steps(m)
			if got := m.Run(); got != s.run {
				t.Errorf("got run %s, want %s", got, s.run)
			}
			if got := m.Send(); got != s.send {
				t.Errorf("got send allowed %t, want %t", got, s.send)
			}
		})
	}
}

func TestStepOutOfOrderIsAViolation(t *testing.T) {
	violations := 0
	m := &Machine{Check: &invariant.Checker{Fail: func(string) { violations++ }}}
	m.Send()
	if violations != 1 {
		t.Errorf("got %d violations for a send without a claim, want 1", violations)
	}
}

// BenchmarkMachine measures the cost of the state machine library for each claimed request.
func BenchmarkMachine(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m := &Machine{}
		m.Write()
		m.Granted()
		m.Send()
		m.Answer()
	}
}
