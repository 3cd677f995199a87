package entrystate

import (
	"time"

	"github.com/qmuntal/stateless"

	"poplarworks/core/statemachine"
)

// State is the state of an entry between its start and its stop.
type State string

// The states of an entry.
const (
	Starting State = "starting" // has received no records yet
	Serving  State = "serving"
	Grace    State = "grace"    // reports not ready but still accepts requests, until the platform's balancer has noticed
	Refusing State = "refusing" // accepts no new requests and finishes those in flight
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

// Machine holds the state of this entry. It is not safe for concurrent use.
type Machine struct {
	GraceTime time.Duration // how long the entry stays in Grace

	machine   statemachine.Machine[State]
	stoppedAt time.Time
	final     bool // the stop cannot be withdrawn
}

// State returns the current state.
func (m *Machine) State() State {
	return m.machine.State(Starting)
}

// Loaded records that the entry has received its records.
func (m *Machine) Loaded() {
	m.fire(triggerLoad)
}

// Stop begins a planned stop. A final stop cannot be withdrawn.
func (m *Machine) Stop(now time.Time, final bool) {
	m.final = m.final || final
	if m.fire(triggerStop) {
		m.stoppedAt = now
	}
}

// Withdraw cancels a planned stop unless it is final.
func (m *Machine) Withdraw() {
	if !m.final {
		m.fire(triggerWithdraw)
	}
}

// Tick leaves Grace once the grace time has passed.
func (m *Machine) Tick(now time.Time) {
	if m.State() == Grace && now.Sub(m.stoppedAt) >= m.GraceTime {
		m.fire(triggerRefuse)
	}
}

// Close records that the last request has ended.
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
