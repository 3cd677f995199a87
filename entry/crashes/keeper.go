package crashes

import (
	"slices"
	"sync"
	"time"

	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
)

const (
	threshold = 2 // crashes, unless the composition says otherwise
	period    = time.Minute
	capacity  = 10_000
)

// Keeper holds the quarantine; its exported fields are set before use.
type Keeper struct {
	*common.Common
	Threshold int                                                     // crashes that put a request into quarantine; zero stands for two
	Tell      func(fingerprint quarantine.Fingerprint, target string) // tells the peers of a crash
	Gone      func(target string) bool                                // whether a target has crashed indeed; nil takes any broken connection for a crash

	mu   sync.Mutex
	list quarantine.List
}

// Start prepares the keeper; call it before anything else.
func (k *Keeper) Start() {
	if k.Threshold == 0 {
		k.Threshold = threshold
	}
	k.list = quarantine.List{Threshold: k.Threshold, Period: period, Capacity: capacity}
}

// Crash counts a connection that a target has broken off without an answer, once that has turned out to be a crash, and tells
// the peers. An answer that was lost on its way must not put its request into quarantine.
func (k *Keeper) Crash(fingerprint quarantine.Fingerprint, target string) {
	k.Log("crashes").WithField("target", target).Warn("A target broke off without an answer.")
	if k.Gone == nil {
		k.count(fingerprint, target)
		return
	}
	go func() {
		if k.Gone(target) {
			k.count(fingerprint, target)
		}
	}()
}

func (k *Keeper) count(fingerprint quarantine.Fingerprint, target string) {
	if k.Heard(fingerprint, target) {
		k.Tell(fingerprint, target)
	}
}

// Heard counts a crash that a peer has seen, and reports whether it was news.
func (k *Keeper) Heard(fingerprint quarantine.Fingerprint, target string) bool {
	k.mu.Lock()
	news := k.list.Crash(k.Now(), fingerprint, target)
	until, blocked := k.list.Blocked(k.Now(), fingerprint)
	k.mu.Unlock()
	if news && blocked {
		k.Log("crashes").WithField("target", target).WithField("until", until).Warn("A request that crashes targets is refused from now on.")
	}
	return news
}

// Blocked reports whether the request is in quarantine, and until when.
func (k *Keeper) Blocked(now time.Time, fingerprint quarantine.Fingerprint) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Blocked(now, fingerprint)
}

// Known returns the targets that a request in quarantine has crashed, for an entry that does not know it.
func (k *Keeper) Known(fingerprint quarantine.Fingerprint) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.list.Targets(k.Now(), fingerprint))
}

// Suspect reports whether the request has crashed a target lately.
func (k *Keeper) Suspect(now time.Time, fingerprint quarantine.Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Suspect(now, fingerprint)
}

// Forgive clears a request that a target has answered.
func (k *Keeper) Forgive(fingerprint quarantine.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list.Size() > 0 {
		k.list.Forgive(k.Now(), fingerprint)
	}
}

// Size returns the number of requests that have crashed a target lately.
func (k *Keeper) Size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Size()
}
