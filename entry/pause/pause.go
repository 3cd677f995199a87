package pause

import (
	"context"
	"time"
)

// Sleep returns after the wait, or when the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Until returns after the wait, when the context ends, or when the condition holds. It checks the condition at every tick.
func Until(ctx context.Context, wait, tick time.Duration, condition func() bool) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil && !condition(); {
		Sleep(ctx, tick)
	}
}
