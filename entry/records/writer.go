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
	writeTimeout     = 5 * time.Second
	maxConflictDelay = 20 * time.Millisecond
)

// ErrConflict is returned when another write of the record came first.
var ErrConflict = errors.New("another write came first")

// ErrUnknown is returned when it could not be determined whether the write took effect.
var ErrUnknown = errors.New("the outcome of the write is not known")

// ErrInvalid is returned when the record is inconsistent with the records in force or cannot be encoded, or when the
// one that it would replace cannot be decoded.
var ErrInvalid = errors.New("the record is not valid")

// Put writes a record that replaces the given revision, which is zero for a new record. It returns the accepted record.
// The error is ErrInvalid, ErrConflict (together with the record that was found instead), store.ErrUnavailable if
// nothing was written, or ErrUnknown.
func (k *Keeper) Put(ctx context.Context, rec record.Record, replaces uint64) (record.Record, error) {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	uncertain := false // an earlier attempt may have taken effect
	for {
		result, err := k.tryPut(bounded, rec, replaces)
		switch {
		case err == nil:
			k.announce(ctx, result)
			return result, nil
		case errors.Is(err, ErrInvalid), errors.Is(err, ErrConflict):
			return result, err
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return record.Record{}, err
		case errors.Is(err, errContended):
		default:
			uncertain = true
		}
		if !sleep(bounded, time.Duration(rand.Float64()*float64(maxConflictDelay))) {
			return record.Record{}, exhaustedError(uncertain)
		}
	}
}

var errContended = errors.New("another record was written at the same time")

func exhaustedError(uncertain bool) error {
	if uncertain {
		return ErrUnknown
	}
	return store.ErrUnavailable
}

// tryPut makes one attempt to write the record over the one in the table. It recognises by the write id that an earlier
// attempt took effect although its response was lost.
func (k *Keeper) tryPut(ctx context.Context, rec record.Record, replaces uint64) (record.Record, error) {
	rows, err := k.Table.Get(ctx, headKey, recordKey(rec.Key))
	if err != nil {
		return record.Record{}, err
	}
	existing, err := k.decodeRow(rows[1])
	if err != nil {
		return record.Record{}, errors.Mark(err, ErrInvalid)
	}
	if existing.WriteID != "" && existing.WriteID == rec.WriteID {
		return existing, nil
	}
	recreated := existing.Deleted && replaces == 0
	if existing.Revision != replaces && !recreated {
		return k.resolveConflict(ctx, rec, existing, replaces)
	}
	if err := k.Catalog().Check(rec); err != nil {
		return record.Record{}, errors.Mark(err, ErrInvalid)
	}
	rec.Revision = max(parseHead(rows[0]), k.Catalog().Revision()) + 1
	return rec, k.write(ctx, rec, rec.Revision, rows)
}

// resolveConflict checks in the change log whether an earlier attempt of this write took effect and was replaced since.
func (k *Keeper) resolveConflict(ctx context.Context, rec, existing record.Record, replaces uint64) (record.Record, error) {
	rows, err := k.Table.Scan(ctx, changePrefix, changeKey(replaces), maxScanRows)
	if err != nil {
		return record.Record{}, err
	}
	for _, change := range k.decode(rows) {
		if change.Key == rec.Key && change.WriteID == rec.WriteID {
			return change, nil
		}
	}
	return existing, ErrConflict
}

func (k *Keeper) decodeRow(row table.Row) (record.Record, error) {
	if row.Version == 0 {
		return record.Record{}, nil
	}
	return k.codec.Unmarshal(row.Value)
}

// write stores the record, its change and the head in one transaction, on condition that the rows of the head and of
// the record are still as they were read.
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
	if rec.Revision > changeLogLength {
		writes = append(writes, table.Write{Key: changeKey(rec.Revision - changeLogLength), Delete: true})
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

// announce puts an accepted record into force on this entry and sends it to the peers at once.
func (k *Keeper) announce(ctx context.Context, rec record.Record) {
	k.Apply([]record.Record{rec}, 0)
	k.Broadcast([]record.Record{rec})
	go k.saveSnapshot(context.WithoutCancel(ctx))
}

// repairTable writes the newer records of this entry back to a table that was restored to an earlier state. It does so
// only after several consecutive polls have found the table behind.
func (k *Keeper) repairTable(ctx context.Context, head table.Row) error {
	k.pollsBehind++
	if k.pollsBehind < pollsBeforeRepair {
		return nil
	}
	k.pollsBehind = 0
	catalog := k.Catalog()
	k.Log("records").WithField("head", parseHead(head)).WithField("revision", catalog.Revision()).
		Warn("The table is behind this entry and will be repaired.")
	for _, rec := range catalog.All() {
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
	existing, err := k.decodeRow(rows[1])
	if err != nil || existing.Revision >= rec.Revision {
		return err
	}
	return k.write(ctx, rec, max(rec.Revision, parseHead(rows[0])), rows)
}
