package configuration

import (
	"poplarworks/core/rule"
	"poplarworks/core/service"
)

// Configuration is one version of all rules and services. Its services contain no targets, since targets register
// themselves.
type Configuration struct {
	Revision uint64 // position in the order of all writes
	Number   uint64 // version number that the operator gave it
	Rules    []rule.Rule
	Services []service.Service
}
