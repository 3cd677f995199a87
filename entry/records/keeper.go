package records

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/catalog"
	"poplarworks/core/record"
	"poplarworks/entry/common"
	"poplarworks/entry/recordwire"
	"poplarworks/entry/table"
)

const (
	headKey            = "head"
	recordPrefix       = "record/"
	changePrefix       = "change/"
	snapshotName       = "snapshot"
	maxScanRows        = 500
	changeLogLength    = 4096
	snapshotInterval   = 30 * time.Second
	snapshotReadyDelay = 3 * time.Second // gives sources that may be newer than the snapshot time to respond first
	loadTimeout        = 10 * time.Second
	pollsBeforeRepair  = 3 // consecutive polls that find the table behind this entry's records
)

type tableStore interface {
	Get(ctx context.Context, keys ...string) ([]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error)
}

type objectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Keeper holds the records in force. Its exported fields must be set before Run.
type Keeper struct {
	*common.Common
	Table     tableStore
	Objects   objectStore
	Broadcast func(records []record.Record) // sends changed records to the peers
	OnChange  func(c *catalog.Catalog)      // called after each change, one call at a time

	codec       recordwire.Codec
	mu          sync.Mutex // serialises changes
	current     atomic.Pointer[catalog.Catalog]
	complete    completeness
	ready       atomic.Bool
	pollsBehind int
}

// Catalog returns the records in force. The caller must not modify them.
func (k *Keeper) Catalog() *catalog.Catalog {
	if c := k.current.Load(); c != nil {
		return c
	}
	return &catalog.Catalog{}
}

// CompleteRevision returns the revision up to which this entry has received every change.
func (k *Keeper) CompleteRevision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete.revision
}

// Ready reports whether this entry has loaded its records from any source.
func (k *Keeper) Ready() bool {
	return k.ready.Load()
}

// Run loads the records and polls for changes until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.loadSnapshot(ctx)
	go k.refreshSnapshot(ctx)
	loaded := false
	for {
		if !loaded {
			loaded = k.loadAll(ctx) == nil
		} else if err := k.poll(ctx); err != nil {
			k.Log("records").WithError(err).Debug("Polling the table for changed records failed.")
		}
		if !sleep(ctx, k.withJitter(k.Settings.PollInterval)) {
			return
		}
	}
}

// withJitter varies an interval by up to 25 %, so that entries that started together do not poll at the same time.
func (k *Keeper) withJitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (0.75 + 0.5*rand.Float64()))
}

func sleep(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Apply puts into force the records that are newer than the current ones, and returns them. The parameter complete is
// the revision up to which the entry has every change once it has these records, or zero if that is unknown.
func (k *Keeper) Apply(records []record.Record, complete uint64) []record.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.complete.raise(complete)
	next := k.Catalog().Clone()
	var changed []record.Record
	for _, rec := range records {
		k.complete.add(rec.Revision)
		existing, _ := next.Get(rec.Key)
		if next.Apply(rec) {
			changed = append(changed, rec)
			k.Check.Assert(rec.Revision > existing.Revision, "record %v fell from revision %d to %d", rec.Key, existing.Revision, rec.Revision)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	k.Check.Assert(next.Revision() >= k.Catalog().Revision(), "the revision fell to %d", next.Revision())
	k.current.Store(next)
	k.Log("records").WithField("revision", next.Revision()).WithField("records", len(changed)).Info("New records were put into force.")
	k.OnChange(next)
	return changed
}

// Receive applies records from a peer. The parameter complete has the same meaning as for Apply.
func (k *Keeper) Receive(records []record.Record, complete uint64) {
	k.Apply(records, complete)
	if complete > 0 {
		k.ready.Store(true)
	}
}

// ChangedSince returns the records that changed after the revision, and the revision up to which this entry has every
// change.
func (k *Keeper) ChangedSince(revision uint64) ([]record.Record, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var changed []record.Record
	for _, rec := range k.Catalog().All() {
		if rec.Revision > revision {
			changed = append(changed, rec)
		}
	}
	return changed, k.complete.revision
}

func (k *Keeper) loadAll(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	// The head is read before the scan, so that changes written during the scan are not assumed to be complete.
	head, err := k.Table.Get(bounded, headKey)
	if err != nil {
		return err
	}
	after := ""
	for {
		rows, err := k.Table.Scan(bounded, recordPrefix, after, maxScanRows)
		if err != nil {
			return err
		}
		k.Apply(k.decode(rows), 0)
		if len(rows) < maxScanRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	k.Apply(nil, parseHead(head[0]))
	k.ready.Store(true)
	return nil
}

func (k *Keeper) decode(rows []table.Row) []record.Record {
	var records []record.Record
	for _, row := range rows {
		rec, err := k.codec.Unmarshal(row.Value)
		if err != nil {
			k.Log("records").WithError(err).WithField("row", row.Key).Error("A record cannot be decoded and is skipped.")
			continue
		}
		records = append(records, rec)
	}
	return records
}

func (k *Keeper) poll(ctx context.Context) error {
	rows, err := k.Table.Get(ctx, headKey)
	if err != nil {
		return err
	}
	head := parseHead(rows[0])
	if head < k.Catalog().Revision() {
		return k.repairTable(ctx, rows[0])
	}
	k.pollsBehind = 0
	complete := k.CompleteRevision()
	if head <= complete {
		return nil
	}
	return k.applyChanges(ctx, complete)
}

// applyChanges reads the changes above the revision. It reads all records instead if the change log no longer has all
// of these changes, or if there are too many for one scan.
func (k *Keeper) applyChanges(ctx context.Context, complete uint64) error {
	rows, err := k.Table.Scan(ctx, changePrefix, changeKey(complete), maxScanRows)
	if err != nil {
		return err
	}
	changes := k.decode(rows)
	if len(changes) == 0 || changes[0].Revision != complete+1 || len(rows) == maxScanRows {
		return k.loadAll(ctx)
	}
	if changed := k.Apply(changes, 0); len(changed) > 0 {
		k.Broadcast(changed)
	}
	return nil
}

// loadSnapshot retries reading the snapshot until it or another source has provided the records.
func (k *Keeper) loadSnapshot(ctx context.Context) {
	for !k.Ready() {
		records, head, err := k.readSnapshot(ctx)
		if err == nil {
			k.Apply(records, head)
			k.Log("records").WithField("revision", head).Info("The snapshot was loaded.")
			sleep(ctx, snapshotReadyDelay)
			k.ready.Store(true)
			return
		}
		if !sleep(ctx, k.withJitter(k.Settings.PollInterval)) {
			return
		}
	}
}

func (k *Keeper) readSnapshot(ctx context.Context) ([]record.Record, uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	data, err := k.Objects.Get(bounded, snapshotName)
	if err != nil {
		return nil, 0, err
	}
	records, head, err := k.codec.UnmarshalAll(data)
	if len(records) > 0 {
		err = nil
	}
	return records, head, err
}

// refreshSnapshot periodically rewrites the snapshot if it is older than the records in force.
func (k *Keeper) refreshSnapshot(ctx context.Context) {
	for sleep(ctx, k.withJitter(snapshotInterval)) {
		k.saveSnapshot(ctx)
	}
}

func (k *Keeper) saveSnapshot(ctx context.Context) {
	records, complete := k.ChangedSince(0)
	if complete == 0 {
		return
	}
	if _, head, err := k.readSnapshot(ctx); err == nil && head >= complete {
		return
	}
	data, err := k.codec.MarshalAll(records, complete)
	if err != nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := k.Objects.Put(bounded, snapshotName, data); err != nil {
		k.Log("records").WithError(err).Warn("Writing the snapshot failed.")
	}
}
