package crashes

import (
	"slices"
	"sync"
	"time"

	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
)

const (
	defaultThreshold   = 2           // crashes that put a request into quarantine
	crashRetention     = time.Minute // time that a crash is remembered, and that a request stays in quarantine
	maxTrackedRequests = 10_000
)

// Keeper counts the crashes that requests cause and holds the quarantine. Its exported fields must be set before use.
type Keeper struct {
	*common.Common
	Threshold int                                                     // crashes until a request is quarantined; zero means two
	Tell      func(fingerprint quarantine.Fingerprint, target string) // reports a crash to the peers
	// HasCrashed checks whether the target has crashed. If it is nil, every broken connection counts as a crash.
	HasCrashed func(target string) bool

	mu   sync.Mutex
	list quarantine.List
}

// Start must be called before all other methods.
func (k *Keeper) Start() {
	if k.Threshold == 0 {
		k.Threshold = defaultThreshold
	}
	k.list = quarantine.List{Threshold: k.Threshold, Period: crashRetention, Capacity: maxTrackedRequests}
}

// Crash handles a connection that the target closed without a response. If the target has crashed, it counts the crash
// and reports it to the peers. A response that was lost in the network must not put its request into quarantine.
func (k *Keeper) Crash(fingerprint quarantine.Fingerprint, target string) {
	k.Log("crashes").WithField("target", target).Warn("A target broke off without an answer.")
	if k.HasCrashed == nil {
		k.recordAndBroadcast(fingerprint, target)
		return
	}
	go func() {
		if k.HasCrashed(target) {
			k.recordAndBroadcast(fingerprint, target)
		}
	}()
}

// recordAndBroadcast counts a crash and reports it to the peers unless it was known.
func (k *Keeper) recordAndBroadcast(fingerprint quarantine.Fingerprint, target string) {
	if k.Heard(fingerprint, target) {
		k.Tell(fingerprint, target)
	}
}

// Heard counts a crash that this entry or a peer has seen, and reports whether it was new.
func (k *Keeper) Heard(fingerprint quarantine.Fingerprint, target string) bool {
	k.mu.Lock()
	isNew := k.list.Crash(k.Now(), fingerprint, target)
	until, blocked := k.list.Blocked(k.Now(), fingerprint)
	k.mu.Unlock()
	if isNew && blocked {
		k.Log("crashes").WithField("target", target).WithField("until", until).
			Warn("A request that crashes targets is refused from now on.")
	}
	return isNew
}

// Blocked reports whether the request is in quarantine, and until when.
func (k *Keeper) Blocked(now time.Time, fingerprint quarantine.Fingerprint) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Blocked(now, fingerprint)
}

// Known returns the targets that a request in quarantine has crashed. It serves to inform an entry that does not know the
// request yet.
func (k *Keeper) Known(fingerprint quarantine.Fingerprint) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.list.Targets(k.Now(), fingerprint))
}

// Suspect reports whether the request has crashed a target within crashRetention.
func (k *Keeper) Suspect(now time.Time, fingerprint quarantine.Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Suspect(now, fingerprint)
}

// Forgive removes the counted crashes of a request that a target has answered. A request in quarantine stays there.
func (k *Keeper) Forgive(fingerprint quarantine.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list.Size() > 0 {
		k.list.Forgive(k.Now(), fingerprint)
	}
}

// Size returns the number of requests with counted crashes.
func (k *Keeper) Size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Size()
}
