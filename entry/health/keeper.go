package health

import (
	"context"
	"net/http"
	"sync"
	"time"

	"poplarworks/core/catalog"
	"poplarworks/core/entrystate"
	"poplarworks/entry/common"
)

const updateInterval = 50 * time.Millisecond

type records interface {
	Catalog() *catalog.Catalog
	Ready() bool
}

// StateTracker tracks the state of this entry. Its exported fields must be set before Run.
type StateTracker struct {
	*common.Common
	Records     records
	PeersSynced func() bool   // reports whether the peers' state has been received
	StopTimeout time.Duration // time from Stop until all requests must have been answered; zero means no limit

	mu       sync.Mutex
	machine  entrystate.Machine
	answerBy time.Time
}

// Run updates the state from the records until the context ends.
func (k *StateTracker) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		k.update()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *StateTracker) update() {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.machine.State()
	k.machine.GraceTime = k.Settings.DrainGrace
	now := k.Now()
	if k.Records.Ready() && k.PeersSynced() {
		k.machine.Loaded()
	}
	if k.stopPlanned(now) {
		k.machine.Stop(now, false)
	} else {
		k.machine.Withdraw()
	}
	k.machine.Tick(now)
	if after := k.machine.State(); after != before {
		k.Log("health").WithField("state", after).Info("The state of this entry has changed.")
	}
}

// stopPlanned reports whether a stop record that names this entry is in force.
func (k *StateTracker) stopPlanned(now time.Time) bool {
	for _, s := range k.Records.Catalog().Stops() {
		if s.Entry == k.Settings.Name && s.InForce(now) {
			return true
		}
	}
	return false
}

// Stop starts the shutdown of this process, which cannot be withdrawn.
func (k *StateTracker) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Stop(k.Now(), true)
	if k.StopTimeout > 0 && k.answerBy.IsZero() {
		k.answerBy = k.Now().Add(k.StopTimeout)
	}
}

// AnswerBy returns the time by which all requests must have been answered since this process stops, or zero if there is
// none.
func (k *StateTracker) AnswerBy() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answerBy
}

// State returns the current state.
func (k *StateTracker) State() entrystate.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.State()
}

// RefusesRequests reports whether new requests are refused.
func (k *StateTracker) RefusesRequests() bool {
	state := k.State()
	return state == entrystate.Refusing || state == entrystate.Closed
}

// Draining reports whether this entry is draining, which includes the grace time and the time after it.
func (k *StateTracker) Draining() bool {
	return k.State() == entrystate.Grace || k.RefusesRequests()
}

// Healthz responds that the process is alive.
func (k *StateTracker) Healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("alive\n"))
}

// Readyz responds with the state. The status is 503 unless the platform's balancer should send callers here.
func (k *StateTracker) Readyz(w http.ResponseWriter, _ *http.Request) {
	state := k.State()
	if state != entrystate.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(state) + "\n"))
}
