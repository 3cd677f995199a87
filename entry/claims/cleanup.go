package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarworks/entry/table"
)

const (
	cleanUpInterval  = time.Minute
	cleanUpBatchSize = 25
	cleanUpMargin    = time.Hour + time.Minute // the index rows give only the hour of expiry
)

// cleanUp deletes claims and answers past their retention in batches.
func (k *Keeper) cleanUp(ctx context.Context) {
	for {
		// The interval is random, so that entries seldom clean up the same rows at the same time.
		interval := time.Duration((0.5 + rand.Float64()) * float64(cleanUpInterval))
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		for ctx.Err() == nil && k.CleanUp(ctx, k.Now()) == cleanUpBatchSize {
			waitForRetry(ctx)
		}
	}
}

// CleanUp deletes at most one batch of claims that expired before now, and returns the number of claims it checked.
func (k *Keeper) CleanUp(ctx context.Context, now time.Time) int {
	index, err := k.Table.Scan(ctx, expiryPrefix, "", cleanUpBatchSize)
	if err != nil {
		return 0
	}
	var keys, expired []string
	for _, row := range index {
		hour, key, ok := parseExpiryKey(row.Key)
		if ok && now.After(hour.Add(cleanUpMargin)) {
			keys, expired = append(keys, key), append(expired, row.Key)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	rows, err := k.Table.Get(ctx, keys...)
	if err != nil {
		return 0
	}
	k.remove(ctx, now, rows, expired)
	return len(keys)
}

// remove deletes the claims that have expired and all the given index rows. Of a claim that was renewed it deletes only
// the old index row.
func (k *Keeper) remove(ctx context.Context, now time.Time, rows []table.Row, index []string) {
	var conditions []table.Row
	var writes []table.Write
	for i, row := range rows {
		writes = append(writes, table.Write{Key: index[i], Delete: true})
		if row.Version == 0 {
			continue
		}
		stored, err := k.codec.Unmarshal(row.Value)
		if err != nil || now.Before(stored.Expires) {
			continue
		}
		conditions = append(conditions, table.Row{Key: row.Key, Version: row.Version})
		writes = append(writes, table.Write{Key: row.Key, Delete: true})
		if stored.ObjectName != "" {
			_ = k.Objects.Delete(ctx, stored.ObjectName)
		}
	}
	if _, err := k.Table.Transact(ctx, conditions, writes); err != nil {
		k.Log("claims").WithError(err).Debug("Deleting expired claims failed.")
		return
	}
	k.Counter("claims.cleaned").Inc(int64(len(conditions)))
}
