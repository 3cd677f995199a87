package pause

import (
	"context"
	"time"
)

// Sleep returns after the time, or when the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Unless returns after the time, when the context ends, or when the condition holds, which it looks at every tick.
func Unless(ctx context.Context, wait, tick time.Duration, condition func() bool) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil && !condition(); {
		Sleep(ctx, tick)
	}
}
