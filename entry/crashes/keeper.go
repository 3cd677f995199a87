package crashes

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"poplarworks/core/crashrecord"
	"poplarworks/core/quarantine"
	"poplarworks/core/recentset"
	"poplarworks/entry/common"
)

const (
	defaultThreshold   = 2           // crashes that put a request into quarantine
	crashRetention     = time.Minute // time that a crash is remembered, and that a request stays in quarantine
	maxTrackedRequests = 10_000
	maxShared          = 16  // requests of which an entry informs another
	maxSuspicions      = 100 // requests suspected of the same crash
)

// checkDelays are the times before the checks of a target. A process that is ending may answer the first ones.
var checkDelays = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1400 * time.Millisecond}

// Keeper counts the crashes that requests cause and holds the quarantine. Its exported fields must be set before use.
type Keeper struct {
	*common.Common
	Threshold     int                                                                   // crashes until a request is quarantined; zero means two
	ReportToPeers func(fingerprint quarantine.Fingerprint, target string, at time.Time) // reports a crash to the peers
	HasCrashed    func(target string) bool                                              // checks whether the target has crashed
	TrustClosed   bool                                                                  // counts a connection closed without an answer as a crash, without a check

	// Store stores the crashes of a request that is quarantined from now on, if this entry has seen one of them; may be nil.
	Store func(records []crashrecord.Record)

	mu      sync.Mutex
	list    quarantine.List
	pending map[string][]suspicion                // by the target that is being checked
	seen    recentset.Set[quarantine.Fingerprint] // requests that this entry has seen crash a target
}

// suspicion is a request that may have crashed a target.
type suspicion struct {
	fingerprint quarantine.Fingerprint
	requestID   string
	at          time.Time // when the target crashed, if it did
	checks      int       // checks that have found the target alive
}

// Start must be called before all other methods.
func (k *Keeper) Start() {
	if k.Threshold == 0 {
		k.Threshold = defaultThreshold
	}
	k.list = quarantine.List{Threshold: k.Threshold, Period: crashRetention, Capacity: maxTrackedRequests}
	k.pending = map[string][]suspicion{}
	k.seen = recentset.Set[quarantine.Fingerprint]{Period: crashRetention, Capacity: maxTrackedRequests}
}

// SuspectClosed handles an attempt whose connection was closed before an answer began.
func (k *Keeper) SuspectClosed(fingerprint quarantine.Fingerprint, requestID, target string) {
	if !k.TrustClosed {
		k.Suspect(fingerprint, requestID, target, k.Now())
		return
	}
	k.Counter("crashes.suspected").Inc(1)
	k.confirm(target, []suspicion{{fingerprint: fingerprint, requestID: requestID, at: k.Now()}})
}

// Suspect handles an attempt that has brought no complete answer, however it ended. If the target is then found to have
// crashed, the crash is counted and reported to the peers. An answer that was lost in the network must not put its
// request into quarantine.
func (k *Keeper) Suspect(fingerprint quarantine.Fingerprint, requestID, target string, crashedAt time.Time) {
	k.enqueue(target, suspicion{fingerprint: fingerprint, requestID: requestID, at: crashedAt})
}

// SuspectAbandoned handles an attempt that this entry broke off before its answer was complete. Its target is checked
// only once, since callers often leave and seldom because of a crash.
func (k *Keeper) SuspectAbandoned(fingerprint quarantine.Fingerprint, requestID, target string, crashedAt time.Time) {
	k.enqueue(target, suspicion{fingerprint: fingerprint, requestID: requestID, at: crashedAt, checks: len(checkDelays) - 1})
}

// enqueue adds the suspicion to those of its target, and starts to check the target unless that has begun.
func (k *Keeper) enqueue(target string, s suspicion) {
	k.Counter("crashes.suspected").Inc(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	checked, running := k.pending[target]
	if len(checked) >= maxSuspicions {
		k.Counter("crashes.dismissed").Inc(1)
		return
	}
	k.pending[target] = append(checked, s)
	if !running {
		go k.check(target)
	}
}

// check checks the target until it has crashed, or was found alive often enough for every request suspected of it.
func (k *Keeper) check(target string) {
	for i := 0; ; i++ {
		time.Sleep(checkDelays[min(i, len(checkDelays)-1)])
		if k.HasCrashed(target) {
			break
		}
		if k.recordAlive(target) == 0 {
			return
		}
	}
	k.mu.Lock()
	suspicions := k.pending[target]
	delete(k.pending, target)
	k.mu.Unlock()
	k.confirm(target, suspicions)
}

// recordAlive records a check that found the target alive. It returns the number of requests that are still suspected.
func (k *Keeper) recordAlive(target string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var remaining []suspicion
	for _, s := range k.pending[target] {
		if s.checks++; s.checks < len(checkDelays) {
			remaining = append(remaining, s)
			continue
		}
		k.Counter("crashes.dismissed").Inc(1)
		k.log(target, s).Debug("A target that gave no complete answer has not crashed.")
	}
	k.pending[target] = remaining
	if len(remaining) == 0 {
		delete(k.pending, target)
	}
	return len(remaining)
}

// confirm counts a crash against each request that is suspected of it, and then reports those that were not known to
// the peers, which can take long.
func (k *Keeper) confirm(target string, suspicions []suspicion) {
	// The peers may get only some of the reports, so those of requests that have crashed other targets come first.
	slices.SortStableFunc(suspicions, func(x, y suspicion) int { return cmp.Compare(k.crashCount(y), k.crashCount(x)) })
	var unknown []suspicion
	for _, s := range suspicions {
		k.Counter("crashes.confirmed").Inc(1)
		k.log(target, s).Warn("A target has crashed during a request.")
		k.mu.Lock()
		k.seen.Add(k.Now(), s.fingerprint)
		k.mu.Unlock()
		if k.CountCrash(s.fingerprint, target, s.at) {
			unknown = append(unknown, s)
		}
	}
	for _, s := range unknown {
		k.ReportToPeers(s.fingerprint, target, s.at)
	}
}

func (k *Keeper) log(target string, s suspicion) *logrus.Entry {
	return k.Log("crashes").WithFields(logrus.Fields{"id": s.requestID, "fingerprint": s.fingerprint, "target": target})
}

// crashCount returns the number of crashes that are counted against the suspected request.
func (k *Keeper) crashCount(s suspicion) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	crashes := 0
	k.list.EachCrash(s.fingerprint, func(string, time.Time) { crashes++ })
	return crashes
}

// CountCrash counts a crash that this entry or a peer has seen, and reports whether it was new.
func (k *Keeper) CountCrash(fingerprint quarantine.Fingerprint, target string, at time.Time) bool {
	k.mu.Lock()
	isNew := k.list.RecordCrash(at, fingerprint, target)
	until, blocked := k.list.Quarantined(k.Now(), fingerprint)
	k.mu.Unlock()
	if isNew && blocked {
		k.Log("crashes").WithFields(logrus.Fields{"fingerprint": fingerprint, "target": target, "until": until}).
			Warn("A request that crashes targets is refused from now on.")
		k.store(fingerprint)
	}
	return isNew
}

// store stores the crashes of a request if this entry has seen one of them.
func (k *Keeper) store(fingerprint quarantine.Fingerprint) {
	if k.Store == nil {
		return
	}
	var records []crashrecord.Record
	k.mu.Lock()
	if k.seen.Has(k.Now(), fingerprint) {
		k.list.EachCrash(fingerprint, func(target string, at time.Time) {
			records = append(records, crashrecord.Record{Fingerprint: fingerprint, Target: target, At: at})
		})
	}
	k.mu.Unlock()
	if len(records) > 0 {
		k.Store(records)
	}
}

// Quarantined reports whether the request is in quarantine, and until when.
func (k *Keeper) Quarantined(now time.Time, fingerprint quarantine.Fingerprint) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Quarantined(now, fingerprint)
}

// EachRepeated calls the function with each crash of the requests that have crashed more than one target, to inform
// entries that may not know them. It leaves out all but the maxShared requests that crashed a target last.
func (k *Keeper) EachRepeated(call func(fingerprint quarantine.Fingerprint, target string, at time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, fingerprint := range k.list.Repeated(k.Now(), maxShared) {
		k.list.EachCrash(fingerprint, func(target string, at time.Time) { call(fingerprint, target, at) })
	}
}

// CrashedRecently reports whether the request has crashed a target within crashRetention.
func (k *Keeper) CrashedRecently(now time.Time, fingerprint quarantine.Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.CrashedRecently(now, fingerprint)
}

// RecordAnswer removes the counted crashes of a request that a target has answered. A request in quarantine stays
// there.
func (k *Keeper) RecordAnswer(fingerprint quarantine.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list.RecordAnswer(k.Now(), fingerprint)
}

// Size returns the number of requests with counted crashes.
func (k *Keeper) Size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.Size()
}
