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

const tickInterval = 50 * time.Millisecond

type records interface {
	Catalog() *catalog.Catalog
	Ready() bool
}

// Keeper holds the state of this entry; its exported fields are set before Run.
type Keeper struct {
	*common.Common
	Records  records
	Informed func() bool // whether the peers have been heard

	mu      sync.Mutex
	machine entrystate.Machine
}

// Run follows the records until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		k.step()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) step() {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.machine.State()
	k.machine.GraceTime = k.Settings.DrainGrace
	now := k.Now()
	if k.Records.Ready() && k.Informed() {
		k.machine.Loaded()
	}
	if k.announced(now) {
		k.machine.Stop(now, false)
	} else {
		k.machine.Withdraw()
	}
	k.machine.Tick(now)
	if after := k.machine.State(); after != before {
		k.Log("health").WithField("state", after).Info("This entry changed its state.")
	}
}

// announced reports whether a stop record names this entry and has begun.
func (k *Keeper) announced(now time.Time) bool {
	for _, s := range k.Records.Catalog().Stops() {
		if s.Entry == k.Settings.Name && s.InForce(now) {
			return true
		}
	}
	return false
}

// Stop begins the stop of this process.
func (k *Keeper) Stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machine.Stop(k.Now(), true)
}

// State returns the present state.
func (k *Keeper) State() entrystate.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.State()
}

// Refusing reports whether new requests are refused.
func (k *Keeper) Refusing() bool {
	state := k.State()
	return state == entrystate.Refusing || state == entrystate.Closed
}

// Leaving reports whether this entry is stopping.
func (k *Keeper) Leaving() bool {
	return k.State() == entrystate.Grace || k.Refusing()
}

// Healthz answers that the process lives.
func (k *Keeper) Healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("alive\n"))
}

// Readyz answers whether the platform's balancer should send callers here.
func (k *Keeper) Readyz(w http.ResponseWriter, _ *http.Request) {
	state := k.State()
	if state != entrystate.Serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(state) + "\n"))
}
