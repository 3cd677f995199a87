package storeupdate

import (
	"time"

	"poplarworks/core/entrylist"
	"poplarworks/core/registry"
	"poplarworks/core/storeversion"
)

// Update contains the changes at the store, or its full content if Full is set.
type Update struct {
	Full          bool
	Version       storeversion.Version // version of the store up to which all changes of registrations are included
	Age           time.Duration        // time since the store returned this content
	Registrations []registry.Change
	Configuration []byte               // text as the operator wrote it; nil if unchanged
	Revision      storeversion.Version // revision of the configuration
	Entries       *entrylist.List      // nil if unchanged
}
