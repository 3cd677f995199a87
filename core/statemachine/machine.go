package statemachine

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// Machine holds a state. The library's rules are configured at the first trigger, so that a machine that never leaves its
// initial state costs nothing. State is an atomic read and may be called while another goroutine calls Fire.
type Machine[S comparable] struct {
	machine *stateless.StateMachine
	state   atomic.Pointer[S]
}

// State returns the current state, or the initial state before the first transition.
func (m *Machine[S]) State(initial S) S {
	if state := m.state.Load(); state != nil {
		return *state
	}
	return initial
}

// Fire changes the state and reports whether the trigger was permitted in the current state. The function configure adds
// the rules to a new state machine.
func (m *Machine[S]) Fire(initial S, configure func(rules *stateless.StateMachine), trigger stateless.Trigger) bool {
	if m.machine == nil {
		m.start(initial, configure)
	}
	ok, err := m.machine.CanFire(trigger)
	return ok && err == nil && m.machine.Fire(trigger) == nil
}

func (m *Machine[S]) start(initial S, configure func(rules *stateless.StateMachine)) {
	m.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return m.State(initial), nil },
		func(_ context.Context, state stateless.State) error {
			if next, ok := state.(S); ok {
				m.state.Store(&next)
			}
			return nil
		},
		stateless.FiringQueued,
	)
	configure(m.machine)
}
