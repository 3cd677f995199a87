package news

import (
	"time"

	"poplarworks/core/entrylist"
	"poplarworks/core/registry"
)

// News is what changed at the store, or, if Whole is set, all there is.
type News struct {
	Whole         bool
	Version       uint64        // of the store, up to which all changes of registrations are included
	Age           time.Duration // since the store said so
	Registrations []registry.Change
	Configuration []byte          // as the operator wrote it; nil if it has not changed
	Revision      uint64          // of the configuration
	Entries       *entrylist.List // nil if it has not changed
}
