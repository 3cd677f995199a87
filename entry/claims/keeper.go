package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
	"poplarworks/core/code"
	"poplarworks/entry/claimwire"
	"poplarworks/entry/common"
	"poplarworks/entry/store"
	"poplarworks/entry/table"
)

const (
	maxConcurrentTransactions = 2
	outcomeTimeout            = 10 * time.Minute // applies to background writes, for which no request waits
	outcomeRetryInterval      = 500 * time.Millisecond
	rereadDelay               = 200 * time.Millisecond
	maxInlineAnswerBytes      = 16 << 10 // larger answers go to the object store
)

type tableStore interface {
	Get(ctx context.Context, keys ...string) ([]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error)
	Unavailable() bool
}

type objectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Keeper decides which requests may run. Its exported fields must be set before Start.
type Keeper struct {
	*common.Common
	Table   tableStore
	Objects objectStore
	// AskHolder requests the answer from the entry that holds a claim; known is false when that entry does not have it.
	AskHolder func(ctx context.Context, row claimrow.Row, key string) (ans *answer.Answer, known bool)

	codec     claimwire.Codec
	committer *committer

	mu      sync.Mutex
	pending map[string]*Ticket // by nonce; a ticket stays here until its outcome is in the table
}

// Start initialises the keeper. It must be called before the first claim.
func (k *Keeper) Start() {
	k.pending = map[string]*Ticket{}
	k.committer = &committer{
		Common:  k.Common,
		table:   k.Table,
		pending: make(chan *write, maxPendingWrites),
		slots:   make(chan struct{}, maxConcurrentTransactions),
	}
}

// Run commits claims and deletes expired ones until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.cleanUp(ctx)
	k.committer.run(ctx)
}

// Claim tries to obtain the right to run the ticket's request. If an earlier send of the request has the claim, Claim
// returns the outcome of that send.
func (k *Keeper) Claim(ctx context.Context, t *Ticket) Result {
	now := k.Now()
	t.Row.Entry, t.Row.Incarnation = k.Settings.Name, k.Incarnation
	t.Row.State, t.Row.Created, t.Row.Expires = claimrow.Claimed, now, now.Add(t.Retention)
	version := uint64(0)
	for {
		t.Machine.Write()
		outcome := k.committer.Write(ctx, &write{key: t.Key, version: version, row: t.Row})
		switch {
		case errors.Is(outcome.err, store.ErrUnavailable):
			// The row was certainly not written, so a later send can still obtain the claim. This send did not run, but
			// without the table it is unknown whether an earlier one did.
			t.Machine.WriteUncertain()
			return codeResult(code.StoreUnavailable, code.Unknown)
		case outcome.err != nil:
			t.Machine.WriteUncertain()
			go k.release(t)
			return codeResult(code.ClaimUnknown, code.Unknown)
		case outcome.existing == nil:
			t.Machine.Granted()
			k.addPending(t)
			return Result{Granted: true}
		}
		t.Machine.Yield()
		result, replaceable := k.resolveEarlier(ctx, t, *outcome.existing)
		if !replaceable {
			return result
		}
		version = outcome.version
	}
}

// Lookup returns the outcome of earlier sends of a request that is refused for another reason.
func (k *Keeper) Lookup(ctx context.Context, t *Ticket) Result {
	rows, err := k.Table.Get(ctx, t.Key)
	if err != nil {
		return codeResult(code.OK, code.Unknown)
	}
	if rows[0].Version == 0 {
		return codeResult(code.OK, code.NotRun)
	}
	row, err := k.codec.Unmarshal(rows[0].Value)
	if err != nil {
		return codeResult(code.OK, code.Unknown)
	}
	result, replaceable := k.resolveEarlier(ctx, t, row)
	if replaceable {
		return codeResult(code.OK, code.NotRun)
	}
	return result
}

// resolveEarlier determines the outcome of another send from its row; replaceable is true when that send did not run
// and its row may be replaced.
func (k *Keeper) resolveEarlier(ctx context.Context, t *Ticket, row claimrow.Row) (result Result, replaceable bool) {
	for {
		switch claimrow.Evaluate(row, t.Row.Fingerprint, t.Row.Nonce) {
		case claimrow.Reclaim, claimrow.OwnClaim:
			return Result{}, true
		case claimrow.Replay:
			return Result{Answer: row.Answer}, false
		case claimrow.Fetch:
			return k.fetchAnswer(ctx, row), false
		case claimrow.AnswerLost:
			return codeResult(code.AnswerNotKept, code.Ran), false
		case claimrow.KeyReused:
			return codeResult(code.KeyReused, code.NotRun), false
		case claimrow.AskHolder:
		}
		ans, known := k.askHolder(ctx, row, t.Key)
		if known && ans != nil {
			return Result{Answer: ans}, false
		}
		if reclaimUnreachable {
			return Result{}, true
		}
		next, changed := k.reread(ctx, row, t.Key)
		if !changed {
			return codeResult(code.EarlierUnknown, code.Unknown), false
		}
		row = next
	}
}

func (k *Keeper) askHolder(ctx context.Context, row claimrow.Row, key string) (*answer.Answer, bool) {
	if row.Entry == k.Settings.Name && row.Incarnation == k.Incarnation {
		return k.Await(ctx, row.Nonce)
	}
	return k.AskHolder(ctx, row, key)
}

// reread reads a row again after a delay when its holder did not know the outcome, which may have been written
// meanwhile.
func (k *Keeper) reread(ctx context.Context, row claimrow.Row, key string) (claimrow.Row, bool) {
	timer := time.NewTimer(rereadDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return row, false
	case <-timer.C:
	}
	rows, err := k.Table.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return row, false
	}
	next, err := k.codec.Unmarshal(rows[0].Value)
	if err != nil {
		return row, false
	}
	return next, next.State != row.State || next.Nonce != row.Nonce
}

func (k *Keeper) fetchAnswer(ctx context.Context, row claimrow.Row) Result {
	data, err := k.Objects.Get(ctx, row.ObjectName)
	if err != nil {
		return codeResult(code.AnswerNotKept, code.Ran)
	}
	ans, err := k.codec.UnmarshalAnswer(data)
	if err != nil {
		return codeResult(code.AnswerNotKept, code.Ran)
	}
	return Result{Answer: ans}
}

func (k *Keeper) addPending(t *Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[t.Row.Nonce] = t
}

func (k *Keeper) removePending(t *Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, t.Row.Nonce)
}

// Await waits for the answer to a request in flight on this entry; known is false if there is no such request, if it
// ends without an answer or if the context ends first.
func (k *Keeper) Await(ctx context.Context, nonce string) (ans *answer.Answer, known bool) {
	k.mu.Lock()
	t, ok := k.pending[nonce]
	k.mu.Unlock()
	if !ok {
		return nil, false
	}
	select {
	case <-ctx.Done():
		return nil, false
	case <-t.done:
		return t.ans, t.ans != nil
	}
}

// Pending returns the tickets whose outcome is not in the table yet.
func (k *Keeper) Pending() []*Ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tickets []*Ticket
	for _, t := range k.pending {
		tickets = append(tickets, t)
	}
	return tickets
}
