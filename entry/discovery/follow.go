package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/configuration"
	"poplarworks/entry/pause"
)

func (k *Keeper) followConfiguration(ctx context.Context) {
	after, known := uint64(0), false
	retry := backoff{}
	for ctx.Err() == nil {
		if k.led() || k.failing.Load() {
			known = known && !k.led()
			pause.Sleep(ctx, ledTick)
			continue
		}
		var t *configuration.Text
		var version uint64
		var err error
		if known {
			t, version, err = k.awaitConfiguration(ctx, after)
		} else {
			t, version, err = k.Source.Configuration(ctx)
		}
		if err != nil {
			known = known && !errors.Is(err, ErrForgotten)
			k.failed("configuration", err)
			k.pause(ctx, &retry)
			continue
		}
		k.answered(&retry)
		known, after = true, max(after, version)
		if t != nil {
			k.Configure(*t)
			pause.Sleep(ctx, k.PauseAfter)
		}
	}
}

// awaitConfiguration waits at the store for a new configuration. It gives up when a look at the targets fails: whatever silenced
// that may have silenced this call, too, which would wait on for long.
func (k *Keeper) awaitConfiguration(ctx context.Context, after uint64) (*configuration.Text, uint64, error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	k.giveUp.Store(&cancel)
	return k.Source.NextConfiguration(bounded, after, k.WaitConfig)
}

func (k *Keeper) followTargets(ctx context.Context) {
	retry := backoff{}
	for ctx.Err() == nil {
		if k.led() {
			pause.Sleep(ctx, ledTick)
			continue
		}
		if err := k.lookAtTargets(ctx); err != nil {
			k.failing.Store(true)
			if cancel := k.giveUp.Load(); cancel != nil {
				(*cancel)()
			}
			k.failed("targets", err)
			k.pause(ctx, &retry)
			continue
		}
		k.failing.Store(false)
		k.answered(&retry)
		pause.Sleep(ctx, k.PollEvery)
	}
}

func (k *Keeper) lookAtTargets(ctx context.Context) error {
	k.mu.Lock()
	listed, after := k.listed, k.targets.Version()
	k.mu.Unlock()
	asked := k.Now()
	if listed {
		changes, version, err := k.Source.Changes(ctx, after)
		if err == nil {
			k.take(asked, changes, version, false)
			return nil
		}
		if !errors.Is(err, ErrForgotten) {
			return err
		}
		k.Log("discovery").WithField("after", after).Warn("The store has dropped its history; the targets are listed anew.")
	}
	listing, version, err := k.Source.Targets(ctx)
	if err != nil {
		return err
	}
	k.take(asked, listing, version, true)
	return nil
}

func (k *Keeper) failed(what string, err error) {
	k.Counter("discovery.failures").Inc(1)
	k.Log("discovery").WithError(err).WithField("what", what).Warn("The store cannot be read.")
}

// backoff spaces repeated attempts.
type backoff struct {
	wait time.Duration
}

func (b *backoff) next(longest time.Duration) time.Duration {
	b.wait = min(longest, max(firstRetry, 2*b.wait))
	return time.Duration(float64(b.wait) * (0.8 + 0.3*rand.Float64()))
}

// pause waits for the next attempt, or until another call shows that the store answers again.
func (k *Keeper) pause(ctx context.Context, b *backoff) {
	failed, longest := k.answers.Load(), longestRetry
	if !k.Ready() {
		longest = unreadyRetry
	}
	pause.Unless(ctx, b.next(longest), holdOffTick, func() bool { return k.answers.Load() != failed })
}

func (k *Keeper) answered(b *backoff) {
	b.wait = 0
	k.answers.Add(1)
}
