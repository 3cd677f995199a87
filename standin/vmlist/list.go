package vmlist

import (
	"net/netip"
	"sync"
	"time"
)

// VM is one entry of the list.
type VM struct {
	Name       string
	Peer       netip.AddrPort // address on which the VM accepts connections of its peers
	DataCentre string
	Leaving    bool
}

// List stores a separate view for each reader, so that views can differ. It is safe for concurrent use.
type List struct {
	Lag time.Duration // delay until a change is visible; must be set before use

	mu    sync.Mutex
	views map[string][]change
}

type change struct {
	at  time.Time
	vms []VM
}

// Set replaces the view of one reader. The view of the empty reader is that of all readers without a view of their own.
func (l *List) Set(reader string, vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.views == nil {
		l.views = map[string][]change{}
	}
	l.views[reader] = append(l.views[reader], change{at: now, vms: vms})
}

// Get returns the list that the reader sees at the given time. The first list that was set is visible without a lag.
func (l *List) Get(reader string, now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, ok := l.views[reader]
	if !ok {
		changes = l.views[""]
	}
	var visible []VM
	for i, c := range changes {
		if i == 0 || !now.Before(c.at.Add(l.Lag)) {
			visible = c.vms
		}
	}
	return visible
}
