package crashrecords

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarworks/core/crashrecord"
	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
	"poplarworks/entry/pause"
)

const (
	retryInterval = time.Second
	maxWrites     = 10 // attempts to write the crashes of one request
	queueSize     = 64
	maxAge        = time.Hour // longer than any quarantine
	maxKept       = 64        // requests whose crashes are written again after a restore of the store
)

// store holds the crashes of quarantined requests.
type store interface {
	PutCrashes(ctx context.Context, records []crashrecord.Record) error
	Crashes(ctx context.Context) ([]crashrecord.Record, error)
	RemoveCrashes(ctx context.Context, records []crashrecord.Record) error
}

// Recorder writes crashes to the store, and reads those of earlier processes. Its exported fields must be set before
// Start.
type Recorder struct {
	*common.Common
	Store    store
	NewFleet bool                                                                       // all entries start for the first time, so that nothing is stored
	OnCrash  func(fingerprint quarantine.Fingerprint, target string, at time.Time) bool // records a crash that was read

	queue    chan []crashrecord.Record
	restored chan struct{}

	mu   sync.Mutex
	kept [][]crashrecord.Record // crashes of the requests that were written or read last
}

// Start must be called before all other methods.
func (r *Recorder) Start() {
	r.queue = make(chan []crashrecord.Record, queueSize)
	r.restored = make(chan struct{}, 1)
}

// StoreRestored makes the recorder write its crashes again, since the restored store may have lost them.
func (r *Recorder) StoreRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// Save writes the crashes of one request in the background. They are left out if too many are waiting to be written.
func (r *Recorder) Save(records []crashrecord.Record) {
	select {
	case r.queue <- records:
	default:
		r.Counter("crashes.not-stored").Inc(1)
	}
}

// Run reads the stored crashes once, and writes new ones until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	if !r.NewFleet {
		go r.load(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case records := <-r.queue:
			r.write(ctx, records)
			r.keep(records)
		case <-r.restored:
			r.writeAgain(ctx)
		}
	}
}

// keep remembers the crashes of a request, in place of earlier ones of the same request.
func (r *Recorder) keep(records []crashrecord.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = slices.DeleteFunc(r.kept, func(kept []crashrecord.Record) bool { return kept[0].Fingerprint == records[0].Fingerprint })
	r.kept = append(r.kept, records)
	if len(r.kept) > maxKept {
		r.kept = r.kept[1:]
	}
}

// writeAgain writes the crashes that still matter and that the store has lost.
func (r *Recorder) writeAgain(ctx context.Context) {
	r.mu.Lock()
	r.kept = slices.DeleteFunc(r.kept, func(kept []crashrecord.Record) bool { return r.Now().Sub(kept[len(kept)-1].At) > maxAge })
	kept := slices.Clone(r.kept)
	r.mu.Unlock()
	if len(kept) == 0 {
		return
	}
	stored, err := r.Store.Crashes(ctx)
	if err != nil {
		r.Log("crashes").WithError(err).Warn("The stored crashes could not be read after a restore; storing all that are known.")
	}
	for _, records := range kept {
		if slices.ContainsFunc(records, func(record crashrecord.Record) bool { return !contains(stored, record) }) {
			r.Log("crashes").WithField("fingerprint", records[0].Fingerprint).Info("Storing the crashes of a request again, which the restored store has lost.")
			r.write(ctx, records)
		}
	}
}

// load reads the stored crashes, and retries until that succeeds. It removes those that are too old to matter.
func (r *Recorder) load(ctx context.Context) {
	records, err := r.Store.Crashes(ctx)
	for err != nil {
		r.Log("crashes").WithError(err).Warn("The stored crashes could not be read; retrying.")
		if pause.Sleep(ctx, retryInterval); ctx.Err() != nil {
			return
		}
		records, err = r.Store.Crashes(ctx)
	}
	var old []crashrecord.Record
	byRequest := map[quarantine.Fingerprint][]crashrecord.Record{}
	for _, record := range records {
		if r.Now().Sub(record.At) > maxAge {
			old = append(old, record)
			continue
		}
		r.OnCrash(record.Fingerprint, record.Target, record.At)
		byRequest[record.Fingerprint] = append(byRequest[record.Fingerprint], record)
	}
	for _, known := range byRequest {
		r.keep(known)
	}
	if len(old) == 0 {
		return
	}
	if err := r.Store.RemoveCrashes(ctx, old); err != nil {
		r.Log("crashes").WithError(err).Warn("Old crashes could not be removed from the store; the next entry that starts tries again.")
	}
}

// contains reports whether the crash is stored, whose time is less precise there.
func contains(stored []crashrecord.Record, record crashrecord.Record) bool {
	return slices.ContainsFunc(stored, func(s crashrecord.Record) bool {
		return s.Fingerprint == record.Fingerprint && s.Target == record.Target
	})
}

func (r *Recorder) write(ctx context.Context, records []crashrecord.Record) {
	for range maxWrites {
		err := r.Store.PutCrashes(ctx, records)
		if err == nil {
			r.Counter("crashes.stored").Inc(1)
			return
		}
		r.Log("crashes").WithError(err).WithField("fingerprint", records[0].Fingerprint).Warn("The crashes of a request could not be stored; retrying.")
		if pause.Sleep(ctx, retryInterval); ctx.Err() != nil {
			return
		}
	}
	r.Counter("crashes.not-stored").Inc(1)
}
