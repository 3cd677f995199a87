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
	headKey          = "head"
	recordPrefix     = "record/"
	changePrefix     = "change/"
	snapshotName     = "snapshot"
	scanLimit        = 500
	keptChanges      = 4096
	snapshotInterval = 30 * time.Second
	snapshotPatience = 3 * time.Second // time in which a source that may be newer than the snapshot can answer first
	loadTimeout      = 10 * time.Second
	repairAfter      = 3 // polls in a row that find the table behind
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

// Keeper holds the records in force; its exported fields are set before Run.
type Keeper struct {
	*common.Common
	Table   tableStore
	Objects objectStore
	Share   func(records []record.Record) // sends news to peers
	Changed func(c *catalog.Catalog)      // called after each change, one call at a time

	codec    recordwire.Codec
	mu       sync.Mutex // serialises changes
	current  atomic.Pointer[catalog.Catalog]
	complete completeness
	ready    atomic.Bool
	behind   int
}

// Catalog returns the records in force, which must not be changed.
func (k *Keeper) Catalog() *catalog.Catalog {
	if c := k.current.Load(); c != nil {
		return c
	}
	return &catalog.Catalog{}
}

// Complete returns the revision up to which no change is missing here.
func (k *Keeper) Complete() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete.revision
}

// Ready reports whether any source of records has answered.
func (k *Keeper) Ready() bool {
	return k.ready.Load()
}

// Run loads the records and follows their changes until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.loadSnapshot(ctx)
	go k.keepSnapshot(ctx)
	loaded := false
	for {
		if !loaded {
			loaded = k.loadAll(ctx) == nil
		} else if err := k.poll(ctx); err != nil {
			k.Log("records").WithError(err).Debug("The poll failed.")
		}
		if !sleep(ctx, k.spread(k.Settings.PollInterval)) {
			return
		}
	}
}

// spread keeps entries that started together from polling together.
func (k *Keeper) spread(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (0.75 + 0.5*rand.Float64()))
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Apply puts in force the records that are newer than those held, and returns these. Complete is the revision up to
// which the records given leave no change out, or zero.
func (k *Keeper) Apply(records []record.Record, complete uint64) []record.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.complete.raise(complete)
	next := k.Catalog().Clone()
	var news []record.Record
	for _, rec := range records {
		k.complete.add(rec.Revision)
		held, _ := next.Get(rec.Key)
		if next.Apply(rec) {
			news = append(news, rec)
			k.Check.Hold(rec.Revision > held.Revision, "record %v fell from revision %d to %d", rec.Key, held.Revision, rec.Revision)
		}
	}
	if len(news) == 0 {
		return nil
	}
	k.Check.Hold(next.Revision() >= k.Catalog().Revision(), "the revision fell to %d", next.Revision())
	k.current.Store(next)
	k.Log("records").WithField("revision", next.Revision()).WithField("records", len(news)).Info("New records are in force.")
	k.Changed(next)
	return news
}

// Receive takes records from a peer; complete is as for Apply.
func (k *Keeper) Receive(records []record.Record, complete uint64) {
	k.Apply(records, complete)
	if complete > 0 {
		k.ready.Store(true)
	}
}

// Above returns the records changed after the revision, and the revision up to which these leave nothing out.
func (k *Keeper) Above(revision uint64) ([]record.Record, uint64) {
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
	// The head is read first, so that what is written during the scan counts as missing.
	head, err := k.Table.Get(bounded, headKey)
	if err != nil {
		return err
	}
	after := ""
	for {
		rows, err := k.Table.Scan(bounded, recordPrefix, after, scanLimit)
		if err != nil {
			return err
		}
		k.Apply(k.decode(rows), 0)
		if len(rows) < scanLimit {
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
			k.Log("records").WithError(err).WithField("row", row.Key).Error("A record cannot be read.")
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
		return k.repairWhenBehind(ctx, rows[0])
	}
	k.behind = 0
	own := k.Complete()
	if head <= own {
		return nil
	}
	return k.follow(ctx, own)
}

// follow reads the changes above the revision; when the log no longer reaches back so far it reads all records.
func (k *Keeper) follow(ctx context.Context, own uint64) error {
	rows, err := k.Table.Scan(ctx, changePrefix, changeKey(own), scanLimit)
	if err != nil {
		return err
	}
	changes := k.decode(rows)
	if len(changes) == 0 || changes[0].Revision != own+1 || len(rows) == scanLimit {
		return k.loadAll(ctx)
	}
	if news := k.Apply(changes, 0); len(news) > 0 {
		k.Share(news)
	}
	return nil
}

// loadSnapshot reads the snapshot until it or another source has answered.
func (k *Keeper) loadSnapshot(ctx context.Context) {
	for !k.Ready() {
		records, head, err := k.readSnapshot(ctx)
		if err == nil {
			k.Apply(records, head)
			k.Log("records").WithField("revision", head).Info("The snapshot is loaded.")
			sleep(ctx, snapshotPatience)
			k.ready.Store(true)
			return
		}
		if !sleep(ctx, k.spread(k.Settings.PollInterval)) {
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

// keepSnapshot writes the snapshot when it is older than the records in force.
func (k *Keeper) keepSnapshot(ctx context.Context) {
	for sleep(ctx, k.spread(snapshotInterval)) {
		k.saveSnapshot(ctx)
	}
}

func (k *Keeper) saveSnapshot(ctx context.Context) {
	records, complete := k.Above(0)
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
		k.Log("records").WithError(err).Warn("The snapshot could not be written.")
	}
}
