package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/configuration"
	"poplarworks/core/registry"
)

// ErrForgotten says that the store no longer has the history that was asked for.
var ErrForgotten = errors.New("the store has dropped the history")

// Source reads the platform's store. Changes returns at once; NextConfiguration waits until there is a newer one, and
// returns nil when the wait is over.
type Source interface {
	Targets(ctx context.Context) (listing []registry.Change, version uint64, err error)
	Changes(ctx context.Context, after uint64) (changes []registry.Change, version uint64, err error)
	Configuration(ctx context.Context) (c *configuration.Text, version uint64, err error)
	NextConfiguration(ctx context.Context, after uint64, wait time.Duration) (c *configuration.Text, version uint64, err error)
}
