package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/configuration"
	"poplarworks/core/storeversion"
	"poplarworks/entry/pause"
)

// watchConfiguration reads the configuration and then waits for newer ones. It pauses while a leader's updates are
// fresh, or while the store cannot be read.
func (k *Watcher) watchConfiguration(ctx context.Context) {
	after, hasVersion := storeversion.Version(0), false
	retry := backoff{}
	for ctx.Err() == nil {
		if k.leaderFresh() || k.failing.Load() {
			hasVersion = hasVersion && !k.leaderFresh()
			pause.Sleep(ctx, leaderCheckInterval)
			continue
		}
		hasVersion = hasVersion && after.Era() >= k.era()
		var t *configuration.Text
		var version storeversion.Version
		var err error
		if hasVersion {
			t, version, err = k.waitForConfiguration(ctx, after)
		} else {
			t, version, err = k.Source.Configuration(ctx)
		}
		if hasVersion && (errors.Is(err, ErrHistoryDropped) || after.Era() < k.era()) {
			hasVersion = false
			continue
		}
		if err != nil {
			k.recordFailure("configuration", err)
			k.waitBeforeRetry(ctx, &retry)
			continue
		}
		k.recordResponse(&retry)
		hasVersion, after = true, max(after, version)
		if t != nil {
			k.Configure(*t)
			pause.Sleep(ctx, k.ConfigurationDelay)
		}
	}
}

// era returns the era of the store in which the targets were read.
func (k *Watcher) era() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targets.Version().Era()
}

// interruptWait cancels the call that waits for a new configuration, if there is one.
func (k *Watcher) interruptWait() {
	if cancel := k.cancelWait.Load(); cancel != nil {
		(*cancel)()
	}
}

// waitForConfiguration waits for the store to return a new configuration. The wait is cancelled when a poll of the
// targets fails: the same fault may have cut off this call as well, which would then hang until its timeout. It is also
// cancelled when the store has been restored, since the version for which it waits may mean something else now.
func (k *Watcher) waitForConfiguration(ctx context.Context, after storeversion.Version) (*configuration.Text, storeversion.Version, error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.cancelWait.Store(&cancel)
	return k.Source.NextConfiguration(waitCtx, after, k.ConfigurationTimeout)
}

// watchTargets polls the targets' registrations, and pauses while a leader's updates are fresh.
func (k *Watcher) watchTargets(ctx context.Context) {
	retry := backoff{}
	for ctx.Err() == nil {
		if k.leaderFresh() {
			pause.Sleep(ctx, leaderCheckInterval)
			continue
		}
		if err := k.pollTargets(ctx); err != nil {
			k.failing.Store(true)
			k.interruptWait()
			k.recordFailure("targets", err)
			k.waitBeforeRetry(ctx, &retry)
			continue
		}
		k.failing.Store(false)
		k.recordResponse(&retry)
		pause.Sleep(ctx, k.PollInterval)
	}
}

// pollTargets reads the changes of registrations since the last poll, or all registrations if there was none or the
// store no longer holds the changes.
func (k *Watcher) pollTargets(ctx context.Context) error {
	k.mu.Lock()
	hasListing, after := k.hasListing, k.targets.Version()
	k.mu.Unlock()
	requestedAt := k.Now()
	if hasListing {
		changes, version, err := k.Source.Changes(ctx, after)
		if err == nil {
			k.apply(requestedAt, changes, version, false)
			return nil
		}
		if !errors.Is(err, ErrHistoryDropped) {
			return err
		}
		k.Log("discovery").WithField("after", after).Warn("The store no longer holds the changes; reading all registrations.")
	}
	listing, version, err := k.Source.Targets(ctx)
	if err != nil {
		return err
	}
	k.apply(requestedAt, listing, version, true)
	return nil
}

func (k *Watcher) recordFailure(what string, err error) {
	k.Counter("discovery.failures").Inc(1)
	k.Log("discovery").WithError(err).WithField("what", what).Warn("The store could not be read; retrying.")
}

// backoff computes the delays between retries: exponential, with jitter.
type backoff struct {
	delay time.Duration
}

func (b *backoff) next(maxDelay time.Duration) time.Duration {
	b.delay = min(maxDelay, max(minRetryDelay, 2*b.delay))
	return time.Duration(float64(b.delay) * (0.8 + 0.3*rand.Float64()))
}

// waitBeforeRetry waits for the backoff's next delay, or until another call shows that the store responds again.
func (k *Watcher) waitBeforeRetry(ctx context.Context, b *backoff) {
	responses, maxDelay := k.responses.Load(), maxRetryDelay
	if !k.Ready() {
		maxDelay = maxUnreadyRetryDelay
	}
	pause.Until(ctx, b.next(maxDelay), conditionCheckInterval, func() bool { return k.responses.Load() != responses })
}

func (k *Watcher) recordResponse(b *backoff) {
	b.delay = 0
	k.responses.Add(1)
}
