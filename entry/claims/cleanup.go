package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarworks/entry/table"
)

const (
	cleanUpInterval = time.Minute
	cleanUpBatch    = 25
	cleanUpMargin   = time.Hour + time.Minute // the rows name the hour in which they expire
)

// cleanUp deletes claims and answers past their retention, a batch at a time.
func (k *Keeper) cleanUp(ctx context.Context) {
	for {
		// Entries look at random moments, so that they seldom meet over the same rows.
		span := time.Duration((0.5 + rand.Float64()) * float64(cleanUpInterval))
		timer := time.NewTimer(span)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		for ctx.Err() == nil && k.CleanUp(ctx, k.Now()) == cleanUpBatch {
			pause(ctx)
		}
	}
}

// CleanUp deletes at most one batch of claims that expired before now, and returns how many it looked at.
func (k *Keeper) CleanUp(ctx context.Context, now time.Time) int {
	index, err := k.Table.Scan(ctx, expiryPrefix, "", cleanUpBatch)
	if err != nil {
		return 0
	}
	var keys, due []string
	for _, row := range index {
		hour, key, ok := parseExpiryKey(row.Key)
		if ok && now.After(hour.Add(cleanUpMargin)) {
			keys, due = append(keys, key), append(due, row.Key)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	rows, err := k.Table.Get(ctx, keys...)
	if err != nil {
		return 0
	}
	k.remove(ctx, now, rows, due)
	return len(keys)
}

// remove deletes the claims that have expired; a claim that was renewed loses only its old index row.
func (k *Keeper) remove(ctx context.Context, now time.Time, rows []table.Row, index []string) {
	var conditions []table.Row
	var writes []table.Write
	for i, row := range rows {
		writes = append(writes, table.Write{Key: index[i], Delete: true})
		if row.Version == 0 {
			continue
		}
		held, err := k.codec.Unmarshal(row.Value)
		if err != nil || now.Before(held.Expires) {
			continue
		}
		conditions = append(conditions, table.Row{Key: row.Key, Version: row.Version})
		writes = append(writes, table.Write{Key: row.Key, Delete: true})
		if held.Object != "" {
			_ = k.Objects.Delete(ctx, held.Object)
		}
	}
	if _, err := k.Table.Transact(ctx, conditions, writes); err != nil {
		k.Log("claims").WithError(err).Debug("The clean-up failed.")
		return
	}
	k.Counter("claims.cleaned").Inc(int64(len(conditions)))
}
