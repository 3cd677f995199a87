package lifecycle

import (
	"context"

	"github.com/qmuntal/stateless"
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

// Machine holds the state; transitions are rare, so that their cost does not matter, and State is a plain read.
type Machine struct {
	machine *stateless.StateMachine
	state   State
}

// Fire moves the machine, and reports whether the trigger means anything in the present state.
func (m *Machine) Fire(trigger Trigger) bool {
	if m.machine == nil {
		m.configure()
	}
	if ok, err := m.machine.CanFire(trigger); err != nil || !ok {
		return false
	}
	return m.machine.Fire(trigger) == nil
}

// State returns the present state.
func (m *Machine) State() State {
	if m.state == "" {
		return Cold
	}
	return m.state
}

func (m *Machine) configure() {
	m.machine = stateless.NewStateMachineWithExternalStorage(m.read, m.write, stateless.FiringQueued)
	m.machine.Configure(Cold).
		Permit(Warm, Active).
		Permit(Eject, Ejected).
		Permit(Leave, Leaving)
	m.machine.Configure(Active).
		Permit(Eject, Ejected).
		Permit(Leave, Leaving)
	m.machine.Configure(Ejected).
		Permit(Try, Trial).
		Permit(Leave, Leaving)
	m.machine.Configure(Trial).
		Permit(Recover, Cold).
		Permit(Eject, Ejected).
		Permit(Leave, Leaving)
	m.machine.Configure(Leaving).
		Permit(Return, Cold)
}

func (m *Machine) read(context.Context) (stateless.State, error) {
	return m.State(), nil
}

func (m *Machine) write(_ context.Context, state stateless.State) error {
	m.state, _ = state.(State)
	return nil
}
