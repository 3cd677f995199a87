package vmlist

import (
	"net/netip"
	"sync"
	"time"
)

// VM is one entry of the list.
type VM struct {
	Name       string
	Peer       netip.AddrPort // where the VM accepts its peers
	DataCentre string
	Leaving    bool
}

// List holds a view for each reader, so that views can differ; it is safe for concurrent use.
type List struct {
	Lag time.Duration // set before use

	mu    sync.Mutex
	views map[string][]change
}

type change struct {
	at  time.Time
	vms []VM
}

// Set replaces the view of one reader; the empty reader is the view of all that have none of their own.
func (l *List) Set(reader string, vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.views == nil {
		l.views = map[string][]change{}
	}
	l.views[reader] = append(l.views[reader], change{at: now, vms: vms})
}

// Get returns what the reader sees now.
func (l *List) Get(reader string, now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, ok := l.views[reader]
	if !ok {
		changes = l.views[""]
	}
	var seen []VM
	for i, c := range changes {
		if i == 0 || !now.Before(c.at.Add(l.Lag)) {
			seen = c.vms
		}
	}
	return seen
}
