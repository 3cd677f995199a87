package registry

import (
	"net/netip"
	"time"

	"poplarworks/core/storeversion"
)

// Change is one version of a target's registration as the store ordered it.
type Change struct {
	Key          string
	Version      storeversion.Version
	Registration *Registration // nil if the registration was removed or could not be decoded
}

// Registration is the content of a registration: what a target reports about itself when it registers.
type Registration struct {
	Service         string
	Address         netip.AddrPort
	DataCentre      string
	Slots           int
	Leaving         bool
	WarmupRemaining time.Duration // remaining time in which the target is slow after its start
	Sequence        uint64        // increases with each write of the same incarnation
	Started         time.Time     // distinguishes incarnations that use the same key
}
