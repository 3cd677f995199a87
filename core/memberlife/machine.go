package memberlife

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
)

// State is what is known of an entry.
type State string

// The states of a member.
const (
	Listed  State = "listed"  // the platform names it, and it has not been heard from
	Alive   State = "alive"   // it sends heartbeats
	Suspect State = "suspect" // its heartbeats are overdue
	Dead    State = "dead"    // it has been silent for long, or another incarnation has replaced it
)

type trigger string

const (
	triggerHear   trigger = "hear"
	triggerMiss   trigger = "miss"
	triggerExpire trigger = "expire"
)

// Machine is the state machine of one member.
type Machine struct {
	machine statemachine.Machine[State]
}

// State returns the present state.
func (m *Machine) State() State {
	return m.machine.State(Listed)
}

// Hear notes a heartbeat.
func (m *Machine) Hear() { m.fire(triggerHear) }

// Miss notes that a heartbeat is overdue.
func (m *Machine) Miss() { m.fire(triggerMiss) }

// Expire notes that the member has been silent for long.
func (m *Machine) Expire() { m.fire(triggerExpire) }

// fire moves the member; a trigger that is not permitted in the present state means nothing there.
func (m *Machine) fire(t trigger) {
	m.machine.Fire(Listed, configure, t)
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Listed).Permit(triggerHear, Alive).Permit(triggerExpire, Dead)
	rules.Configure(Alive).Permit(triggerMiss, Suspect)
	rules.Configure(Suspect).Permit(triggerHear, Alive).Permit(triggerExpire, Dead)
	rules.Configure(Dead).Permit(triggerHear, Alive)
}
