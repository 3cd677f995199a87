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

// Settle takes the end of a claimed request, with its answer if there is one to keep, and writes the outcome in the
// background.
func (k *Keeper) Settle(t *Ticket, kept *answer.Answer) {
	t.kept = kept
	close(t.done)
	switch t.Machine.Stage() {
	case claim.Answered:
		go k.complete(t)
	case claim.Held:
		t.Machine.Free()
		go func() {
			k.release(t)
			k.forget(t)
		}()
	default:
		// The row stays as it is: nobody may run the request again.
		k.forget(t)
	}
}

// complete writes that the request ran, and its answer.
func (k *Keeper) complete(t *Ticket) {
	defer k.forget(t)
	row := t.Row
	row.State = claimrow.Done
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if t.kept != nil && len(t.kept.Body) <= inlineBytes {
		row.Answer = t.kept
	} else if t.kept != nil {
		row.Object = k.putAnswer(ctx, t)
	}
	k.replace(ctx, t, row)
}

func (k *Keeper) putAnswer(ctx context.Context, t *Ticket) string {
	name := answerPrefix + strings.TrimPrefix(t.Key, claimPrefix)
	data, err := k.codec.MarshalAnswer(t.kept)
	if err != nil {
		return ""
	}
	for ctx.Err() == nil {
		if err := k.Objects.Put(ctx, name, data); err == nil {
			return name
		}
		pause(ctx)
	}
	return ""
}

func pause(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// release writes that the request did not run. It also bars a claim whose write is in doubt from taking effect later:
// the row is then either ours to change or absent, and in both cases ends as released.
func (k *Keeper) release(t *Ticket) {
	row := t.Row
	row.State = claimrow.Released
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	k.replace(ctx, t, row)
}

// replace writes the outcome over the ticket's own row, and over no other.
func (k *Keeper) replace(ctx context.Context, t *Ticket, row claimrow.Row) {
	for ctx.Err() == nil {
		done, err := k.tryReplace(ctx, t, row)
		if done {
			return
		}
		if err != nil && !errors.Is(err, store.ErrDown) {
			k.Log("claims").WithError(err).Warn("An outcome could not be written yet.")
		}
		pause(ctx)
	}
	k.Log("claims").WithField("claim", t.Key).Error("An outcome was not written in time.")
}

func (k *Keeper) tryReplace(ctx context.Context, t *Ticket, row claimrow.Row) (bool, error) {
	rows, err := k.Table.Get(ctx, t.Key)
	if err != nil {
		return false, err
	}
	if rows[0].Version > 0 {
		held, err := k.codec.Unmarshal(rows[0].Value)
		if err != nil {
			return false, err
		}
		if held.Nonce != t.Row.Nonce {
			return true, nil
		}
		if held.State == row.State {
			return true, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, k.Settings.PlatformTimeout)
	defer cancel()
	outcome := k.committer.Write(bounded, &write{key: t.Key, version: rows[0].Version, row: row})
	return outcome.err == nil && outcome.met == nil, outcome.err
}
