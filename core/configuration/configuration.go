package configuration

import (
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/storeversion"
)

// Configuration is one version of all rules and services. Its services contain no targets, since targets register
// themselves.
type Configuration struct {
	Revision storeversion.Version // position in the order of all writes
	Number   uint64               // version number that the operator gave it
	Rules    []rule.Rule
	Services []service.Service
}
