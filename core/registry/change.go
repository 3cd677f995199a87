package registry

import (
	"net/netip"
	"time"
)

// Change is one version of a target's registration.
type Change struct {
	Key     string
	Version uint64
	Entry   *Entry // nil if the registration was removed or cannot be used
}

// Entry is what a target says of itself when it registers.
type Entry struct {
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool
	WarmupLeft time.Duration // how much longer the target is slow after its start
	Sequence   uint64
	Started    time.Time // tells incarnations with one key apart
}
