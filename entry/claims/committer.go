package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/claimrow"
	"poplarworks/entry/claimwire"
	"poplarworks/entry/common"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
)

const (
	maxBatchSize        = 25
	commitRetryInterval = 10 * time.Millisecond
	maxPendingWrites    = 4096
)

// errWriteUncertain is returned when it is unknown whether the row was written.
var errWriteUncertain = errors.New("the outcome of the write is unknown")

// committer writes rows in batches: the writes that arrive during a transaction form the next batch.
type committer struct {
	*common.Common

	table   tableStore
	codec   claimwire.Codec
	pending chan *write
	slots   chan struct{} // each transaction in progress occupies one slot
}

// write is one conditional write of a claim.
type write struct {
	ctx       context.Context
	key       string
	version   uint64 // version that the row must have; zero when it must be absent
	row       claimrow.Row
	result    chan writeResult
	uncertain bool // an earlier attempt may have taken effect
}

// writeResult is the outcome of a write; existing is the row that was found instead when the condition failed.
type writeResult struct {
	existing *claimrow.Row
	version  uint64 // version of the existing row
	err      error
}

// Write queues a write and waits for its outcome. The result has the existing row if the condition failed, and no row
// if the write is in the table. The error is store.ErrUnavailable if nothing was written, errWriteUncertain if
// that is unknown, or the fault of an existing row that cannot be decoded.
func (c *committer) Write(ctx context.Context, w *write) writeResult {
	if c.table.Unavailable() {
		return writeResult{err: store.ErrUnavailable}
	}
	w.ctx = ctx
	w.result = make(chan writeResult, 1)
	select {
	case c.pending <- w:
	default:
		return writeResult{err: store.ErrUnavailable}
	}
	return <-w.result
}

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.pending:
			c.slots <- struct{}{}
			go c.commit(ctx, c.gather(first))
		}
	}
}

func (c *committer) gather(first *write) []*write {
	batch := []*write{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < maxBatchSize {
		select {
		case next := <-c.pending:
			if keys[next.key] {
				// A transaction cannot write a row twice. The later write then conflicts with the earlier one's row.
				go func() { c.pending <- next }()
				return batch
			}
			keys[next.key] = true
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit retries until every write of the batch has an outcome. The caller has acquired a slot, which commit releases
// between attempts, so that a batch with uncertain writes does not block the others.
func (c *committer) commit(ctx context.Context, batch []*write) {
	c.Histogram("claims.batch").Update(int64(len(batch)))
	for {
		batch = c.dropExpired(batch)
		if len(batch) == 0 {
			<-c.slots
			return
		}
		batch = c.tryCommit(ctx, batch)
		<-c.slots
		if len(batch) == 0 {
			return
		}
		time.Sleep(commitRetryInterval)
		c.slots <- struct{}{}
	}
}

// tryCommit attempts one transaction and returns the writes that have no outcome yet.
func (c *committer) tryCommit(ctx context.Context, batch []*write) []*write {
	bounded, cancel := context.WithDeadline(ctx, latestDeadline(batch))
	defer cancel()
	conflicts, err := c.transact(bounded, batch)
	switch {
	case err == nil && len(conflicts) == 0:
		finishAll(batch, writeResult{})
		return nil
	case err == nil:
		return c.finishConflicts(batch, conflicts)
	case errors.Is(err, store.ErrUnavailable):
		return finishUnwritten(batch)
	}
	for _, w := range batch {
		w.uncertain = true
	}
	return batch
}

func latestDeadline(batch []*write) time.Time {
	var latest time.Time
	for _, w := range batch {
		if deadline, ok := w.ctx.Deadline(); ok && deadline.After(latest) {
			latest = deadline
		}
	}
	return latest
}

func (c *committer) dropExpired(batch []*write) []*write {
	remaining := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() == nil {
			remaining = append(remaining, w)
			continue
		}
		if w.uncertain {
			w.result <- writeResult{err: errWriteUncertain}
		} else {
			w.result <- writeResult{err: store.ErrUnavailable}
		}
	}
	return remaining
}

func finishAll(batch []*write, outcome writeResult) {
	for _, w := range batch {
		w.result <- outcome
	}
}

// finishUnwritten ends the writes that were certainly not made and returns the uncertain ones, which are retried until
// their deadlines.
func finishUnwritten(batch []*write) []*write {
	remaining := batch[:0]
	for _, w := range batch {
		if w.uncertain {
			remaining = append(remaining, w)
			continue
		}
		w.result <- writeResult{err: store.ErrUnavailable}
	}
	return remaining
}

func (c *committer) transact(ctx context.Context, batch []*write) ([]table.Row, error) {
	var conditions []table.Row
	var writes []table.Write
	for _, w := range batch {
		conditions = append(conditions, table.Row{Key: w.key, Version: w.version})
		value, err := c.codec.Marshal(w.row)
		if err != nil {
			return nil, err
		}
		writes = append(writes, table.Write{Key: w.key, Value: value}, table.Write{Key: expiryKey(w.row, w.key)})
	}
	return c.table.Transact(ctx, conditions, writes)
}

// finishConflicts ends the writes whose conditions failed, and returns the others, which were not written.
func (c *committer) finishConflicts(batch []*write, conflicts []table.Row) []*write {
	rowsByKey := map[string]table.Row{}
	for _, row := range conflicts {
		rowsByKey[row.Key] = row
	}
	remaining := batch[:0]
	for _, w := range batch {
		row, conflict := rowsByKey[w.key]
		if !conflict {
			remaining = append(remaining, w)
			continue
		}
		w.result <- c.compareRow(w, row)
	}
	return remaining
}

// compareRow distinguishes a row written by an earlier attempt of this write, whose response was lost, from the row of
// another write.
func (c *committer) compareRow(w *write, row table.Row) writeResult {
	if row.Version == 0 {
		return writeResult{existing: &claimrow.Row{}, version: 0}
	}
	stored, err := c.codec.Unmarshal(row.Value)
	if err != nil {
		return writeResult{err: err}
	}
	if stored.Nonce == w.row.Nonce && stored.State == w.row.State {
		return writeResult{}
	}
	return writeResult{existing: &stored, version: row.Version}
}
