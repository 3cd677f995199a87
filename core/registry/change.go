package registry

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/storeversion"
)

// Change is one version of a target's registration as the store ordered it.
type Change struct {
	Key          string
	Version      storeversion.Version
	Registration *Registration // nil if the registration was removed or could not be decoded
}

// maxSlots is far above what any target runs concurrently.
const maxSlots = 1 << 16

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

// Check returns an error if no target can be meant, as in an entry that another writer has left among the registrations.
func (e *Registration) Check() error {
	switch a := e.Address.Addr(); {
	case e.Service == "":
		return errors.New("the service is missing")
	case e.Address.Port() == 0 || a.IsUnspecified() || a.IsMulticast() || !a.IsValid():
		return errors.Newf("no target can have the address %s", e.Address)
	case e.Slots < 1 || e.Slots > maxSlots:
		return errors.Newf("no target has %d slots", e.Slots)
	}
	return nil
}
