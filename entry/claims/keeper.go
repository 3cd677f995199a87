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
	transactions  = 2                // under way at a time
	settleTimeout = 10 * time.Minute // for writes that nobody waits for
	settlePause   = 500 * time.Millisecond
	askAgain      = 200 * time.Millisecond
	inlineBytes   = 16 << 10 // answers up to this size are kept in the row
)

type tableStore interface {
	Get(ctx context.Context, keys ...string) ([]table.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	Transact(ctx context.Context, conditions []table.Row, writes []table.Write) ([]table.Row, error)
	Down() bool
}

type objectStore interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Keeper decides which requests run; its exported fields are set before Run.
type Keeper struct {
	*common.Common
	Table   tableStore
	Objects objectStore
	// Ask asks the entry that holds a claim for the answer; known is false when it cannot tell.
	Ask func(ctx context.Context, row claimrow.Row, key string) (kept *answer.Answer, known bool)

	codec     claimwire.Codec
	committer *committer

	mu   sync.Mutex
	held map[string]*Ticket // by nonce, until the outcome is in the table
}

// Start prepares the keeper; call it before the first claim.
func (k *Keeper) Start() {
	k.held = map[string]*Ticket{}
	k.committer = &committer{
		Common:  k.Common,
		table:   k.Table,
		pending: make(chan *write, pendingLimit),
		turns:   make(chan struct{}, transactions),
	}
}

// Run commits and cleans up until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.cleanUp(ctx)
	k.committer.run(ctx)
}

// Claim asks for the right to run the ticket's request, or finds out what became of an earlier send of it.
func (k *Keeper) Claim(ctx context.Context, t *Ticket) Result {
	now := k.Now()
	t.Row.Entry, t.Row.Incarnation = k.Settings.Name, k.Incarnation
	t.Row.State, t.Row.Created, t.Row.Expires = claimrow.Claimed, now, now.Add(t.Retention)
	version := uint64(0)
	for {
		t.Machine.Write()
		outcome := k.committer.Write(ctx, &write{key: t.Key, version: version, row: t.Row})
		switch {
		case errors.Is(outcome.err, store.ErrDown):
			// The row was surely not written, so that a later send finds the way free. This send did not run; whether an
			// earlier one did only the table could tell.
			t.Machine.Lose()
			return refused(code.StoreUnavailable, code.Unknown)
		case outcome.err != nil:
			t.Machine.Lose()
			go k.release(t)
			return refused(code.ClaimUnknown, code.Unknown)
		case outcome.met == nil:
			t.Machine.Granted()
			k.remember(t)
			return Result{Granted: true}
		}
		t.Machine.Yield()
		result, retake := k.follow(ctx, t, *outcome.met)
		if !retake {
			return result
		}
		version = outcome.version
	}
}

// Look finds out what became of earlier sends of a request that is refused for another reason.
func (k *Keeper) Look(ctx context.Context, t *Ticket) Result {
	rows, err := k.Table.Get(ctx, t.Key)
	if err != nil {
		return refused(code.OK, code.Unknown)
	}
	if rows[0].Version == 0 {
		return refused(code.OK, code.NotRun)
	}
	row, err := k.codec.Unmarshal(rows[0].Value)
	if err != nil {
		return refused(code.OK, code.Unknown)
	}
	result, retake := k.follow(ctx, t, row)
	if retake {
		return refused(code.OK, code.NotRun)
	}
	return result
}

// follow reads another send's row; retake is true when that send did not run and its row may be replaced.
func (k *Keeper) follow(ctx context.Context, t *Ticket, row claimrow.Row) (result Result, retake bool) {
	for {
		switch claimrow.Judge(row, t.Row.Fingerprint, t.Row.Nonce) {
		case claimrow.Retake, claimrow.Mine:
			return Result{}, true
		case claimrow.Replay:
			return Result{Answer: row.Answer}, false
		case claimrow.Fetch:
			return k.fetch(ctx, row), false
		case claimrow.Lost:
			return refused(code.AnswerNotKept, code.Ran), false
		case claimrow.Reused:
			return refused(code.KeyReused, code.NotRun), false
		case claimrow.Ask:
		}
		kept, known := k.ask(ctx, row, t.Key)
		if known && kept != nil {
			return Result{Answer: kept}, false
		}
		if claimsLapse {
			return Result{}, true
		}
		next, changed := k.reread(ctx, row, t.Key)
		if !changed {
			return refused(code.EarlierUnknown, code.Unknown), false
		}
		row = next
	}
}

func (k *Keeper) ask(ctx context.Context, row claimrow.Row, key string) (*answer.Answer, bool) {
	if row.Entry == k.Settings.Name && row.Incarnation == k.Incarnation {
		return k.Await(ctx, row.Nonce)
	}
	return k.Ask(ctx, row, key)
}

// reread looks once more at a row whose holder could not tell; the outcome may have been written meanwhile.
func (k *Keeper) reread(ctx context.Context, row claimrow.Row, key string) (claimrow.Row, bool) {
	timer := time.NewTimer(askAgain)
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

func (k *Keeper) fetch(ctx context.Context, row claimrow.Row) Result {
	data, err := k.Objects.Get(ctx, row.Object)
	if err != nil {
		return refused(code.AnswerNotKept, code.Ran)
	}
	kept, err := k.codec.UnmarshalAnswer(data)
	if err != nil {
		return refused(code.AnswerNotKept, code.Ran)
	}
	return Result{Answer: kept}
}

func (k *Keeper) remember(t *Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held[t.Row.Nonce] = t
}

func (k *Keeper) forget(t *Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, t.Row.Nonce)
}

// Await returns the answer to a request in flight at this entry, once it has one; known is false when there will be
// none.
func (k *Keeper) Await(ctx context.Context, nonce string) (kept *answer.Answer, known bool) {
	k.mu.Lock()
	t, ok := k.held[nonce]
	k.mu.Unlock()
	if !ok {
		return nil, false
	}
	select {
	case <-ctx.Done():
		return nil, false
	case <-t.done:
		return t.kept, t.kept != nil
	}
}

// Held returns the claims in hand: those whose outcome is not in the table yet.
func (k *Keeper) Held() []*Ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	var tickets []*Ticket
	for _, t := range k.held {
		tickets = append(tickets, t)
	}
	return tickets
}
