package entrystate

import (
	"time"

	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
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

	machine   statemachine.Machine[State]
	stoppedAt time.Time
	final     bool // the stop cannot be withdrawn
}

// State returns the present state.
func (m *Machine) State() State {
	return m.machine.State(Starting)
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
	return m.machine.Fire(Starting, configure, t)
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Starting).Permit(triggerLoad, Serving).Permit(triggerStop, Grace)
	rules.Configure(Serving).Permit(triggerStop, Grace)
	rules.Configure(Grace).Permit(triggerRefuse, Refusing).Permit(triggerWithdraw, Serving)
	rules.Configure(Refusing).Permit(triggerClose, Closed).Permit(triggerWithdraw, Serving)
}
