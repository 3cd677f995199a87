package targetstate

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
)

// State is the state of a target.
type State string

// The states of a target.
const (
	SlowStart State = "cold"    // slow start: its share of requests grows
	Active    State = "active"  // gets its full share of requests
	Ejected   State = "ejected" // fails far more often than its peers and gets no requests
	Trial     State = "trial"   // was ejected and gets one request at a time
	Leaving   State = "leaving" // finishes requests in flight and gets no new ones
)

// Trigger moves a target from one state to another.
type Trigger string

// The triggers of state changes.
const (
	Warm       Trigger = "warm"
	Eject      Trigger = "eject"
	StartTrial Trigger = "try"
	Recover    Trigger = "recover"
	Leave      Trigger = "leave"
	Return     Trigger = "return"
)

// Machine holds the state of one target. Transitions are rare, so their cost does not matter.
type Machine struct {
	machine statemachine.Machine[State]
}

// Fire changes the state and reports whether the trigger is permitted in the current state.
func (m *Machine) Fire(trigger Trigger) bool {
	return m.machine.Fire(SlowStart, configure, trigger)
}

// State returns the current state.
func (m *Machine) State() State {
	return m.machine.State(SlowStart)
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(SlowStart).Permit(Warm, Active).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Active).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Ejected).Permit(StartTrial, Trial).Permit(Leave, Leaving)
	rules.Configure(Trial).Permit(Recover, SlowStart).Permit(Eject, Ejected).Permit(Leave, Leaving)
	rules.Configure(Leaving).Permit(Return, SlowStart)
}
