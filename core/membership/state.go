package membership

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

// lifecycle is the state machine of one member.
type lifecycle struct {
	machine *stateless.StateMachine
	state   State
}

func newLifecycle() *lifecycle {
	l := &lifecycle{state: Listed}
	l.machine = stateless.NewStateMachineWithExternalStorage(l.read, l.write, stateless.FiringQueued)
	l.machine.Configure(Listed).Permit(triggerHear, Alive).Permit(triggerExpire, Dead).Ignore(triggerMiss)
	l.machine.Configure(Alive).Permit(triggerMiss, Suspect).Ignore(triggerHear).Ignore(triggerExpire)
	l.machine.Configure(Suspect).Permit(triggerHear, Alive).Permit(triggerExpire, Dead).Ignore(triggerMiss)
	l.machine.Configure(Dead).Permit(triggerHear, Alive).Ignore(triggerMiss).Ignore(triggerExpire)
	return l
}

func (l *lifecycle) read(context.Context) (stateless.State, error) {
	return l.state, nil
}

func (l *lifecycle) write(_ context.Context, state stateless.State) error {
	l.state, _ = state.(State)
	return nil
}

// fire moves the member; every trigger is either permitted or ignored in every state, so that it cannot fail.
func (l *lifecycle) fire(t trigger) {
	_ = l.machine.Fire(t)
}
