package configuration

import (
	"poplarworks/core/rule"
	"poplarworks/core/service"
)

// Configuration is one version of all rules and services; the services name no targets.
type Configuration struct {
	Revision uint64 // place in the order of all writes
	Number   uint64 // as the operator numbers it
	Rules    []rule.Rule
	Services []service.Service
}
