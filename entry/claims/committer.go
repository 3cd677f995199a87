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
	batchSize    = 25
	retryPause   = 10 * time.Millisecond
	pendingLimit = 4096
)

// errDoubt says that nobody knows whether the row was written.
var errDoubt = errors.New("the outcome of the write is not known")

// committer writes rows in groups: while one transaction is under way, the writes that arrive make up the next.
type committer struct {
	*common.Common

	table   tableStore
	codec   claimwire.Codec
	pending chan *write
	turns   chan struct{} // held while a transaction is under way
}

// write is one conditional write of a claim.
type write struct {
	ctx     context.Context
	key     string
	version uint64 // that the row must have; zero when it must be absent
	row     claimrow.Row
	result  chan written
	doubt   bool // an earlier try may have taken effect
}

// written is the outcome of a write; met is the row that was there instead.
type written struct {
	met     *claimrow.Row
	version uint64 // of the row met
	err     error
}

// Write returns the row that it met, or nil when its own is in place, or store.ErrDown or errDoubt.
func (c *committer) Write(ctx context.Context, w *write) written {
	if c.table.Down() {
		return written{err: store.ErrDown}
	}
	w.ctx = ctx
	w.result = make(chan written, 1)
	select {
	case c.pending <- w:
	default:
		return written{err: store.ErrDown}
	}
	return <-w.result
}

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.pending:
			c.turns <- struct{}{}
			go c.commit(ctx, c.gather(first))
		}
	}
}

func (c *committer) gather(first *write) []*write {
	batch := []*write{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < batchSize {
		select {
		case next := <-c.pending:
			if keys[next.key] {
				// Two writes of one row cannot share a transaction; the later one meets the earlier one's row.
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

// commit tries until every write of the batch has an outcome; it is called with a turn, which it gives back between
// tries, so that a batch in doubt does not hold up the others.
func (c *committer) commit(ctx context.Context, batch []*write) {
	c.Histogram("claims.batch").Update(int64(len(batch)))
	for {
		batch = c.dropExpired(batch)
		if len(batch) == 0 {
			<-c.turns
			return
		}
		batch = c.try(ctx, batch)
		<-c.turns
		if len(batch) == 0 {
			return
		}
		time.Sleep(retryPause)
		c.turns <- struct{}{}
	}
}

// try makes one transaction and returns the writes that have no outcome yet.
func (c *committer) try(ctx context.Context, batch []*write) []*write {
	bounded, cancel := context.WithDeadline(ctx, latest(batch))
	defer cancel()
	conflicts, err := c.transact(bounded, batch)
	switch {
	case err == nil && len(conflicts) == 0:
		settleAll(batch, written{})
		return nil
	case err == nil:
		return c.settleConflicts(batch, conflicts)
	case errors.Is(err, store.ErrDown):
		return settleDown(batch)
	}
	for _, w := range batch {
		w.doubt = true
	}
	return batch
}

func latest(batch []*write) time.Time {
	var last time.Time
	for _, w := range batch {
		if deadline, ok := w.ctx.Deadline(); ok && deadline.After(last) {
			last = deadline
		}
	}
	return last
}

func (c *committer) dropExpired(batch []*write) []*write {
	kept := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
			continue
		}
		if w.doubt {
			w.result <- written{err: errDoubt}
		} else {
			w.result <- written{err: store.ErrDown}
		}
	}
	return kept
}

func settleAll(batch []*write, outcome written) {
	for _, w := range batch {
		w.result <- outcome
	}
}

// settleDown ends the writes that were surely not made; those in doubt are tried on until their time is up.
func settleDown(batch []*write) []*write {
	kept := batch[:0]
	for _, w := range batch {
		if w.doubt {
			kept = append(kept, w)
			continue
		}
		w.result <- written{err: store.ErrDown}
	}
	return kept
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

// settleConflicts ends the writes whose rows differ from the condition, and returns the others, which were not written.
func (c *committer) settleConflicts(batch []*write, conflicts []table.Row) []*write {
	met := map[string]table.Row{}
	for _, row := range conflicts {
		met[row.Key] = row
	}
	kept := batch[:0]
	for _, w := range batch {
		row, conflict := met[w.key]
		if !conflict {
			kept = append(kept, w)
			continue
		}
		w.result <- c.judge(w, row)
	}
	return kept
}

// judge tells a row of this very write, whose answer was lost, from another's.
func (c *committer) judge(w *write, row table.Row) written {
	if row.Version == 0 {
		return written{met: &claimrow.Row{}, version: 0}
	}
	held, err := c.codec.Unmarshal(row.Value)
	if err != nil {
		return written{err: err}
	}
	if held.Nonce == w.row.Nonce && held.State == w.row.State {
		return written{}
	}
	return written{met: &held, version: row.Version}
}
