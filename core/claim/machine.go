package claim

import (
	"github.com/qmuntal/stateless"

	"poplarworks/core/code"
	"poplarworks/core/invariant"
	"poplarworks/core/statemachine"
)

// Stage is the progress of the request that holds or wants a claim.
type Stage string

// The stages of a claim.
const (
	Fresh        Stage = "fresh"
	Writing      Stage = "writing"   // the row of the claim is being written
	Held         Stage = "held"      // this request owns the row, and no target can have run the request
	Sent         Stage = "sent"      // a target may have run the request
	Answered     Stage = "answered"  // a target returned a complete answer
	Uncertain    Stage = "uncertain" // a target may have run the request, and no answer was received
	WriteUnknown Stage = "unsettled" // it is unknown whether the row was written; nothing was sent
	Yielded      Stage = "yielded"   // another request owns the row
	Released     Stage = "freed"     // the row has been released
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

// Machine enforces the order of steps that makes one request run at most once.
type Machine struct {
	Check *invariant.Checker // is told of every step that is not permitted at the current stage

	machine statemachine.Machine[Stage]
}

// Write records that the row is about to be written.
func (m *Machine) Write() bool { return m.fire(triggerWrite) }

// Granted records that this request owns the row.
func (m *Machine) Granted() bool { return m.fire(triggerGrant) }

// Yield records that another request owns the row.
func (m *Machine) Yield() bool { return m.fire(triggerYield) }

// WriteUncertain records that the outcome of the write is unknown.
func (m *Machine) WriteUncertain() bool { return m.fire(triggerLose) }

// Send records that the request is about to be sent to a target. The request must not be sent if Send returns false,
// since it then does not hold the claim.
func (m *Machine) Send() bool { return m.fire(triggerSend) }

// NotRun records proof that the target did not run the request.
func (m *Machine) NotRun() bool { return m.fire(triggerNotRun) }

// Answer records that a complete answer was received.
func (m *Machine) Answer() bool { return m.fire(triggerAnswer) }

// EndWithoutAnswer records that the attempt ended without an answer and without proof that the target did not run the
// request.
func (m *Machine) EndWithoutAnswer() bool { return m.fire(triggerBreak) }

// Release records that the row is about to be released.
func (m *Machine) Release() bool { return m.fire(triggerFree) }

// Stage returns the current stage of the request.
func (m *Machine) Stage() Stage {
	return m.machine.State(Fresh)
}

// Run returns whether a target may have run the request, as far as is known at this stage.
func (m *Machine) Run() code.Execution {
	switch m.Stage() {
	case Fresh, Writing, Held, WriteUnknown, Released:
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
	m.Check.Assert(ok, "claim at stage %s cannot %s", before, t)
	return ok
}

func configure(rules *stateless.StateMachine) {
	rules.Configure(Fresh).Permit(triggerWrite, Writing)
	rules.Configure(Writing).Permit(triggerGrant, Held).Permit(triggerYield, Yielded).Permit(triggerLose, WriteUnknown)
	rules.Configure(Yielded).Permit(triggerWrite, Writing)
	rules.Configure(Held).Permit(triggerSend, Sent).Permit(triggerFree, Released)
	rules.Configure(Sent).Permit(triggerNotRun, Held).Permit(triggerAnswer, Answered).Permit(triggerBreak, Uncertain)
}
