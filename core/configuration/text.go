package configuration

import "poplarworks/core/storeversion"

// Text is the undecoded text of a configuration.
type Text struct {
	Revision storeversion.Version // position in the order of all writes
	Value    []byte               // the text as the operator wrote it
}
