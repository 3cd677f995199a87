package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/configuration"
	"poplarworks/core/registry"
	"poplarworks/core/storeversion"
)

// ErrHistoryDropped reports that the store no longer holds the changes after the requested version.
var ErrHistoryDropped = errors.New("the store no longer holds the requested history")

// Source reads the platform's store. Changes returns at once. NextConfiguration blocks until there is a newer
// configuration, and returns nil if there is none when the wait times out.
type Source interface {
	Targets(ctx context.Context) (listing []registry.Change, version storeversion.Version, err error)
	Changes(ctx context.Context, after storeversion.Version) (changes []registry.Change, version storeversion.Version, err error)
	Configuration(ctx context.Context) (c *configuration.Text, version storeversion.Version, err error)
	NextConfiguration(ctx context.Context, after storeversion.Version, wait time.Duration) (c *configuration.Text, version storeversion.Version, err error)
}
