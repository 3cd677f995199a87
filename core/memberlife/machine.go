package memberlife

import (
	"context"

	"github.com/qmuntal/stateless"
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
	machine *stateless.StateMachine
	state   State
}

// New returns the machine of a member that is listed.
func New() *Machine {
	m := &Machine{state: Listed}
	m.machine = stateless.NewStateMachineWithExternalStorage(m.read, m.write, stateless.FiringQueued)
	m.machine.Configure(Listed).Permit(triggerHear, Alive).Permit(triggerExpire, Dead).Ignore(triggerMiss)
	m.machine.Configure(Alive).Permit(triggerMiss, Suspect).Ignore(triggerHear).Ignore(triggerExpire)
	m.machine.Configure(Suspect).Permit(triggerHear, Alive).Permit(triggerExpire, Dead).Ignore(triggerMiss)
	m.machine.Configure(Dead).Permit(triggerHear, Alive).Ignore(triggerMiss).Ignore(triggerExpire)
	return m
}

// State returns the present state.
func (m *Machine) State() State {
	return m.state
}

// Hear notes a heartbeat.
func (m *Machine) Hear() { m.fire(triggerHear) }

// Miss notes that a heartbeat is overdue.
func (m *Machine) Miss() { m.fire(triggerMiss) }

// Expire notes that the member has been silent for long.
func (m *Machine) Expire() { m.fire(triggerExpire) }

func (m *Machine) read(context.Context) (stateless.State, error) {
	return m.state, nil
}

func (m *Machine) write(_ context.Context, state stateless.State) error {
	m.state, _ = state.(State)
	return nil
}

// fire moves the member; every trigger is either permitted or ignored in every state, so that it cannot fail.
func (m *Machine) fire(t trigger) {
	_ = m.machine.Fire(t)
}
