package claims

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/claim"
	"poplarworks/core/claimrow"
	"poplarworks/entry/store"
)

// RecordOutcome ends a claimed request, with its answer if there is one to store, and writes the outcome in the
// background.
func (k *Keeper) RecordOutcome(t *Ticket, ans *answer.Answer) {
	t.ans = ans
	close(t.done)
	switch t.Machine.Stage() {
	case claim.Answered:
		go k.recordDone(t)
	case claim.Held:
		t.Machine.Release()
		go func() {
			k.release(t)
			k.removePending(t)
		}()
	default:
		// The row stays unchanged, so that the request is never run again.
		k.removePending(t)
	}
}

// recordDone writes that the request ran, together with its answer.
func (k *Keeper) recordDone(t *Ticket) {
	defer k.removePending(t)
	row := t.Row
	row.State = claimrow.Done
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	if t.ans != nil && len(t.ans.Body) <= maxInlineAnswerBytes {
		row.Answer = t.ans
	} else if t.ans != nil {
		row.ObjectName = k.putAnswer(ctx, t)
	}
	k.replaceRow(ctx, t, row)
}

func (k *Keeper) putAnswer(ctx context.Context, t *Ticket) string {
	name := answerPrefix + strings.TrimPrefix(t.Key, claimPrefix)
	data, err := k.codec.MarshalAnswer(t.ans)
	if err != nil {
		return ""
	}
	for ctx.Err() == nil {
		if err := k.Objects.Put(ctx, name, data); err == nil {
			return name
		}
		waitForRetry(ctx)
	}
	return ""
}

func waitForRetry(ctx context.Context) {
	timer := time.NewTimer(outcomeRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// release writes that the request did not run. It also keeps a claim whose write is uncertain from taking effect later:
// the row is then either the ticket's own or absent, and ends as released in both cases.
func (k *Keeper) release(t *Ticket) {
	row := t.Row
	row.State = claimrow.Released
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	k.replaceRow(ctx, t, row)
}

// replaceRow writes the outcome over the ticket's own row or a missing one, but never over the row of another ticket.
func (k *Keeper) replaceRow(ctx context.Context, t *Ticket, row claimrow.Row) {
	for ctx.Err() == nil {
		done, err := k.tryReplaceRow(ctx, t, row)
		if done {
			return
		}
		if err != nil && !errors.Is(err, store.ErrUnavailable) {
			k.Log("claims").WithError(err).Warn("Writing the outcome of a claim failed and will be retried.")
		}
		waitForRetry(ctx)
	}
	k.Log("claims").WithField("claim", t.Key).Error("The outcome of a claim was not written before the timeout.")
}

func (k *Keeper) tryReplaceRow(ctx context.Context, t *Ticket, row claimrow.Row) (bool, error) {
	rows, err := k.Table.Get(ctx, t.Key)
	if err != nil {
		return false, err
	}
	if rows[0].Version > 0 {
		stored, err := k.codec.Unmarshal(rows[0].Value)
		if err != nil {
			return false, err
		}
		if stored.Nonce != t.Row.Nonce {
			return true, nil
		}
		if stored.State == row.State {
			return true, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, k.Settings.PlatformTimeout)
	defer cancel()
	outcome := k.committer.Write(bounded, &write{key: t.Key, version: rows[0].Version, row: row})
	return outcome.err == nil && outcome.existing == nil, outcome.err
}
