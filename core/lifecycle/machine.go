package lifecycle

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
)

// State is where a target stands.
type State string

// The states of a target.
const (
	Cold    State = "cold"    // new: its share grows
	Active  State = "active"  // takes its full share
	Ejected State = "ejected" // fails far more than its peers: takes nothing
	Trial   State = "trial"   // was ejected: takes one request at a time
	Leaving State = "leaving" // ends what it has, takes nothing new
)

// Trigger moves a target from one state to another.
type Trigger string

// The triggers.
const (
	Warm    Trigger = "warm"
	Eject   Trigger = "eject"
	Try     Trigger = "try"
	Recover Trigger = "recover"
	Leave   Trigger = "leave"
	Return  Trigger = "return"
)

// Machine holds the state; transitions are rare, so that their cost does not matter.
type Machine struct {
	machine statemachine.Machine[State]
}

// Fire moves the machine, and reports whether the trigger means anything in the present state.
func (m *Machine) Fire(trigger Trigger) bool {
	return m.machine.Fire(Cold, configure, trigger)
}

// State returns the present state.
func (m *Machine) State() State {
	return m.machine.State(Cold)
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Cold).Permit(Warm, Active).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Active).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Ejected).Permit(Try, Trial).Permit(Leave, Leaving)
	rules.Configure(Trial).Permit(Recover, Cold).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Leaving).Permit(Return, Cold)
}
