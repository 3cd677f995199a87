package entrystate

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is where an entry stands.
type State string

// The states of an entry.
const (
	Starting State = "starting" // has no records yet
	Serving  State = "serving"
	Grace    State = "grace"    // is no longer ready, and still accepts, while the platform's balancer takes note
	Refusing State = "refusing" // accepts nothing new, and ends what it has
	Closed   State = "closed"
)

type trigger string

const (
	triggerLoad     trigger = "load"
	triggerStop     trigger = "stop"
	triggerWithdraw trigger = "withdraw"
	triggerRefuse   trigger = "refuse"
	triggerClose    trigger = "close"
)

// Machine holds the state of this entry; it is not safe for concurrent use.
type Machine struct {
	GraceTime time.Duration

	machine   *stateless.StateMachine
	state     State
	stoppedAt time.Time
	final     bool // the stop cannot be withdrawn
}

// State returns the present state.
func (m *Machine) State() State {
	if m.state == "" {
		return Starting
	}
	return m.state
}

// Loaded notes that the entry has records.
func (m *Machine) Loaded() {
	m.fire(triggerLoad)
}

// Stop begins a planned stop; a final one cannot be withdrawn.
func (m *Machine) Stop(now time.Time, final bool) {
	m.final = m.final || final
	if m.fire(triggerStop) {
		m.stoppedAt = now
	}
}

// Withdraw ends a planned stop that is not final.
func (m *Machine) Withdraw() {
	if !m.final {
		m.fire(triggerWithdraw)
	}
}

// Tick ends the grace time when it is over.
func (m *Machine) Tick(now time.Time) {
	if m.State() == Grace && now.Sub(m.stoppedAt) >= m.GraceTime {
		m.fire(triggerRefuse)
	}
}

// Close notes that the last request has ended.
func (m *Machine) Close() {
	m.fire(triggerClose)
}

func (m *Machine) fire(t trigger) bool {
	if m.machine == nil {
		m.configure()
	}
	ok, err := m.machine.CanFire(t)
	return ok && err == nil && m.machine.Fire(t) == nil
}

func (m *Machine) configure() {
	m.machine = stateless.NewStateMachineWithExternalStorage(m.read, m.write, stateless.FiringQueued)
	m.machine.Configure(Starting).Permit(triggerLoad, Serving).Permit(triggerStop, Grace)
	m.machine.Configure(Serving).Permit(triggerStop, Grace)
	m.machine.Configure(Grace).Permit(triggerRefuse, Refusing).Permit(triggerWithdraw, Serving)
	m.machine.Configure(Refusing).Permit(triggerClose, Closed).Permit(triggerWithdraw, Serving)
}

func (m *Machine) read(context.Context) (stateless.State, error) {
	return m.State(), nil
}

func (m *Machine) write(_ context.Context, state stateless.State) error {
	m.state, _ = state.(State)
	return nil
}
