package claim

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/code"
	"poplarworks/core/invariant"
	"poplarworks/core/statemachine"
)

// Stage is how far the holder of a claim has come.
type Stage string

// The stages of a claim.
const (
	Fresh     Stage = "fresh"
	Writing   Stage = "writing"   // the row is being written
	Held      Stage = "held"      // the row is ours, and no target can have run the request
	Sent      Stage = "sent"      // a target may have run it
	Answered  Stage = "answered"  // a target gave its whole answer
	Uncertain Stage = "uncertain" // a target may have run it, and there is no answer
	Unsettled Stage = "unsettled" // nobody knows whether the row was written; nothing was sent
	Yielded   Stage = "yielded"   // the row belongs to another request
	Freed     Stage = "freed"     // the row is released
)

type trigger string

const (
	triggerWrite  trigger = "write"
	triggerGrant  trigger = "grant"
	triggerYield  trigger = "yield"
	triggerLose   trigger = "lose"
	triggerSend   trigger = "send"
	triggerNotRun trigger = "not-run"
	triggerAnswer trigger = "answer"
	triggerBreak  trigger = "break"
	triggerFree   trigger = "free"
)

// Machine holds one request to the order of steps that keeps it at most once.
type Machine struct {
	Check *invariant.Checker

	machine statemachine.Machine[Stage]
}

// Write notes that the row is about to be written.
func (m *Machine) Write() bool { return m.fire(triggerWrite) }

// Granted notes that the row is ours.
func (m *Machine) Granted() bool { return m.fire(triggerGrant) }

// Yield notes that the row belongs to another request.
func (m *Machine) Yield() bool { return m.fire(triggerYield) }

// Lose notes that the outcome of the write is not known.
func (m *Machine) Lose() bool { return m.fire(triggerLose) }

// Send notes that the request is about to be sent to a target; without a claim in hand it must not be.
func (m *Machine) Send() bool { return m.fire(triggerSend) }

// NotRun notes the proof that the target did not run the request.
func (m *Machine) NotRun() bool { return m.fire(triggerNotRun) }

// Answer notes a whole answer.
func (m *Machine) Answer() bool { return m.fire(triggerAnswer) }

// Break notes that the attempt ended without proof and without an answer.
func (m *Machine) Break() bool { return m.fire(triggerBreak) }

// Free notes that the row is about to be released.
func (m *Machine) Free() bool { return m.fire(triggerFree) }

// Stage returns how far the request has come.
func (m *Machine) Stage() Stage {
	return m.machine.State(Fresh)
}

// Run returns what may be said of the request at this stage.
func (m *Machine) Run() code.Run {
	switch m.Stage() {
	case Fresh, Writing, Held, Unsettled, Freed:
		return code.NotRun
	case Answered:
		return code.Ran
	case Sent, Uncertain, Yielded:
		return code.Unknown
	}
	return code.Unknown
}

func (m *Machine) fire(t trigger) bool {
	before := m.Stage()
	ok := m.machine.Fire(Fresh, configure, t)
	m.Check.Hold(ok, "claim at stage %s cannot %s", before, t)
	return ok
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Fresh).Permit(triggerWrite, Writing)
	rules.Configure(Writing).Permit(triggerGrant, Held).Permit(triggerYield, Yielded).Permit(triggerLose, Unsettled)
	rules.Configure(Yielded).Permit(triggerWrite, Writing)
	rules.Configure(Held).Permit(triggerSend, Sent).Permit(triggerFree, Freed)
	rules.Configure(Sent).Permit(triggerNotRun, Held).Permit(triggerAnswer, Answered).Permit(triggerBreak, Uncertain)
}
