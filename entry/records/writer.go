package records

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/record"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
)

const (
	writeTimeout = 5 * time.Second
	conflictWait = 20 * time.Millisecond
)

// ErrConflict says that another write of the record came first.
var ErrConflict = errors.New("another write came first")

// ErrUnknown says that the write's outcome could not be settled.
var ErrUnknown = errors.New("the outcome of the write is not known")

// ErrInvalid says that the record clashes with those in force.
var ErrInvalid = errors.New("the record is not valid")

// Put accepts a record that replaces the revision given (zero for a new one); it returns ErrInvalid, ErrConflict with the
// record that it met, store.ErrDown when nothing was written, or ErrUnknown.
func (k *Keeper) Put(ctx context.Context, rec record.Record, replaces uint64) (record.Record, error) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	doubt := false // an earlier try may have taken effect
	for {
		result, err := k.tryPut(bounded, rec, replaces)
		switch {
		case err == nil:
			k.announce(ctx, result)
			return result, nil
		case errors.Is(err, ErrInvalid), errors.Is(err, ErrConflict):
			return result, err
		case errors.Is(err, store.ErrDown) && !doubt:
			return record.Record{}, err
		case errors.Is(err, errContended):
		default:
			doubt = true
		}
		if !sleep(bounded, time.Duration(rand.Float64()*float64(conflictWait))) {
			return record.Record{}, unsettled(doubt)
		}
	}
}

var errContended = errors.New("another record was written at the same time")

func unsettled(doubt bool) error {
	if doubt {
		return ErrUnknown
	}
	return store.ErrDown
}

// tryPut reads what the table holds and writes on top of it; the write id tells a write of ours whose answer was lost.
func (k *Keeper) tryPut(ctx context.Context, rec record.Record, replaces uint64) (record.Record, error) {
	rows, err := k.Table.Get(ctx, headKey, recordKey(rec.Key))
	if err != nil {
		return record.Record{}, err
	}
	held, err := k.held(rows[1])
	if err != nil {
		return record.Record{}, errors.Mark(err, ErrInvalid)
	}
	if held.WriteID != "" && held.WriteID == rec.WriteID {
		return held, nil
	}
	recreated := held.Deleted && replaces == 0
	if held.Revision != replaces && !recreated {
		return k.settleConflict(ctx, rec, held, replaces)
	}
	if err := k.Catalog().Check(rec); err != nil {
		return record.Record{}, errors.Mark(err, ErrInvalid)
	}
	rec.Revision = max(parseHead(rows[0]), k.Catalog().Revision()) + 1
	return rec, k.write(ctx, rec, rec.Revision, rows)
}

// settleConflict looks in the log of changes whether a write of ours took effect and was replaced since.
func (k *Keeper) settleConflict(ctx context.Context, rec, held record.Record, replaces uint64) (record.Record, error) {
	rows, err := k.Table.Scan(ctx, changePrefix, changeKey(replaces), scanLimit)
	if err != nil {
		return record.Record{}, err
	}
	for _, change := range k.decode(rows) {
		if change.Key == rec.Key && change.WriteID == rec.WriteID {
			return change, nil
		}
	}
	return held, ErrConflict
}

func (k *Keeper) held(row table.Row) (record.Record, error) {
	if row.Version == 0 {
		return record.Record{}, nil
	}
	return k.codec.Unmarshal(row.Value)
}

// write takes the rows of the head and of the record as they were read.
func (k *Keeper) write(ctx context.Context, rec record.Record, head uint64, rows []table.Row) error {
	value, err := k.codec.Marshal(rec)
	if err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	writes := []table.Write{
		{Key: headKey, Value: formatHead(head)},
		{Key: recordKey(rec.Key), Value: value},
		{Key: changeKey(rec.Revision), Value: value},
	}
	if rec.Revision > keptChanges {
		writes = append(writes, table.Write{Key: changeKey(rec.Revision - keptChanges), Delete: true})
	}
	conditions := []table.Row{{Key: headKey, Version: rows[0].Version}, {Key: rows[1].Key, Version: rows[1].Version}}
	conflicts, err := k.Table.Transact(ctx, conditions, writes)
	if err != nil {
		return err
	}
	if len(conflicts) > 0 {
		return errContended
	}
	return nil
}

// announce puts an accepted record in force here and tells the peers at once.
func (k *Keeper) announce(ctx context.Context, rec record.Record) {
	k.Apply([]record.Record{rec}, 0)
	k.Share([]record.Record{rec})
	go k.saveSnapshot(context.WithoutCancel(ctx))
}

// repairWhenBehind writes records back to a table that was restored to an earlier state.
func (k *Keeper) repairWhenBehind(ctx context.Context, head table.Row) error {
	k.behind++
	if k.behind < repairAfter {
		return nil
	}
	k.behind = 0
	held := k.Catalog()
	k.Log("records").WithField("head", parseHead(head)).WithField("revision", held.Revision()).Warn("The table has fallen behind, and is repaired.")
	for _, rec := range held.All() {
		if rec.Revision <= parseHead(head) {
			continue
		}
		if err := k.writeBack(ctx, rec); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) writeBack(ctx context.Context, rec record.Record) error {
	rows, err := k.Table.Get(ctx, headKey, recordKey(rec.Key))
	if err != nil {
		return err
	}
	held, err := k.held(rows[1])
	if err != nil || held.Revision >= rec.Revision {
		return err
	}
	return k.write(ctx, rec, max(rec.Revision, parseHead(rows[0])), rows)
}
