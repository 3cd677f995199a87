package memberstate

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
)

// State is the liveness of an entry.
type State string

// The states of a member.
const (
	Listed  State = "listed"  // the platform lists it, and no heartbeat has arrived yet
	Alive   State = "alive"   // its heartbeats arrive in time
	Suspect State = "suspect" // its heartbeats are overdue
	Dead    State = "dead"    // it has sent no heartbeat for long
)

type trigger string

const (
	triggerHeartbeat trigger = "hear"
	triggerOverdue   trigger = "miss"
	triggerExpire    trigger = "expire"
)

// Machine is the state machine of one member.
type Machine struct {
	machine statemachine.Machine[State]
}

// State returns the current state.
func (m *Machine) State() State {
	return m.machine.State(Listed)
}

// HeartbeatReceived records that a heartbeat arrived.
func (m *Machine) HeartbeatReceived() { m.fire(triggerHeartbeat) }

// HeartbeatOverdue records that a heartbeat is overdue.
func (m *Machine) HeartbeatOverdue() { m.fire(triggerOverdue) }

// Expire records that the member has sent no heartbeat for long.
func (m *Machine) Expire() { m.fire(triggerExpire) }

// fire changes the state. A trigger that is not permitted in the current state is ignored.
func (m *Machine) fire(t trigger) {
	m.machine.Fire(Listed, configure, t)
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Listed).Permit(triggerHeartbeat, Alive).Permit(triggerExpire, Dead)
	rules.Configure(Alive).Permit(triggerOverdue, Suspect)
	rules.Configure(Suspect).Permit(triggerHeartbeat, Alive).Permit(triggerExpire, Dead)
	rules.Configure(Dead).Permit(triggerHeartbeat, Alive)
}
