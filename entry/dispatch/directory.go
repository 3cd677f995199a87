package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"poplarworks/core/balancer"
	"poplarworks/core/catalog"
	"poplarworks/core/decision"
	"poplarworks/core/rule"
	"poplarworks/core/service"
	"poplarworks/core/snapshot"
	"poplarworks/core/split"
	"poplarworks/core/stop"
	"poplarworks/entry/common"
)

const stopInterval = 100 * time.Millisecond // also the interval of the checks for a pause of the process

// Directory holds the services of the current configuration. Its exported fields must be set before Start.
type Directory struct {
	*common.Common
	NewPicker func(random *rand.Rand) balancer.Picker
	// ProbeWhileWaiting probes the load of some targets while requests wait; it may be nil.
	ProbeWhileWaiting func(s *Service)
	// ConfirmedSince reports whether the records were confirmed since the given time, which is checked after a pause;
	// it may be nil.
	ConfirmedSince func(since time.Time) bool

	pauses   pauseGuard
	changed  chan struct{}
	mu       sync.RWMutex
	services map[string]*Service
	cancels  map[string]context.CancelFunc
	shares   map[netip.AddrPort]int
	stops    []stop.Stop

	splitMu  sync.Mutex
	splitter split.Splitter
}

// Start prepares the directory. It must be called before any other method.
func (d *Directory) Start() {
	d.changed = make(chan struct{}, 1)
	d.pauses.confirmedSince = d.ConfirmedSince
}

// Run checks for pauses of the process and applies planned stops when they are due, until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pauses.check(d.Now())
			d.applyStops()
		}
	}
}

// Get returns the service with the given name.
func (d *Directory) Get(name string) (*Service, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.services[name]
	return s, ok
}

// Choose returns the service for the next request of the rule, according to the rule's traffic split.
func (d *Directory) Choose(r *rule.Rule) (*Service, bool) {
	d.splitMu.Lock()
	name := d.splitter.Service(r)
	d.splitMu.Unlock()
	return d.Get(name)
}

// All returns a copy of the map of all services by name.
func (d *Directory) All() map[string]*Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make(map[string]*Service, len(d.services))
	for name, s := range d.services {
		all[name] = s
	}
	return all
}

// FindTarget looks up a target by name among all services.
func (d *Directory) FindTarget(name string) (*service.Service, service.Target, bool) {
	for _, s := range d.All() {
		record := s.Record()
		for _, t := range record.Targets {
			if t.Name == name {
				return record, t, true
			}
		}
	}
	return nil, service.Target{}, false
}

// Configure applies the records of the catalog: it adds, changes and removes services.
func (d *Directory) Configure(c *catalog.Catalog) {
	d.mu.Lock()
	d.stops = c.Stops()
	if d.services == nil {
		d.services = map[string]*Service{}
		d.cancels = map[string]context.CancelFunc{}
	}
	shares := map[netip.AddrPort]int{}
	present := map[string]bool{}
	for _, record := range c.Services() {
		present[record.Name] = true
		s := d.getOrCreate(record.Name)
		if current := s.Record(); current == nil || !reflect.DeepEqual(*current, record) {
			s.configure(record)
		}
		for _, t := range record.Targets {
			shares[t.Address] = record.ConnectionsPerEntry()
		}
	}
	for name := range d.services {
		if !present[name] {
			d.services[name].configure(service.Service{Name: name})
			d.cancels[name]()
			delete(d.services, name)
			delete(d.cancels, name)
		}
	}
	d.shares = shares
	d.mu.Unlock()
	d.applyStops()
}

// getOrCreate returns the service with the given name. It is called with the lock held.
func (d *Directory) getOrCreate(name string) *Service {
	if s, ok := d.services[name]; ok {
		return s
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), d.Incarnation))
	s := &Service{
		Common:  d.Common,
		pauses:  &d.pauses,
		changed: d.changed,
		probe:   d.ProbeWhileWaiting,
		balancer: &balancer.Balancer{
			Self: d.Settings.Name, DataCentre: d.Settings.DataCentre, Picker: d.NewPicker(random), Random: random, Check: d.Check,
		},
		waiters: map[uint64]chan decision.Decision{},
		wake:    make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.services[name] = s
	d.cancels[name] = cancel
	go s.run(ctx)
	return s
}

func (d *Directory) applyStops() {
	d.mu.RLock()
	stops := slices.Clone(d.stops)
	d.mu.RUnlock()
	for _, s := range d.All() {
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.ApplyStops(now, stops) })
	}
}

// LongInFlightChanged returns a channel that is signalled when a long request starts or ends, so that it is reported to
// peers without delay.
func (d *Directory) LongInFlightChanged() <-chan struct{} {
	return d.changed
}

// PauseCount returns the number of pauses of this process that were detected.
func (d *Directory) PauseCount() int {
	return d.pauses.count(d.Now())
}

// Share returns the number of connections that this entry may hold to the address.
func (d *Directory) Share(address netip.AddrPort) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.shares[address]
}

// Dump returns the state of every service, sorted by name.
func (d *Directory) Dump() []snapshot.Service {
	var dumps []snapshot.Service
	for _, s := range d.All() {
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) { dumps = append(dumps, b.Dump(now)) })
	}
	slices.SortFunc(dumps, func(a, b snapshot.Service) int { return strings.Compare(a.Name, b.Name) })
	return dumps
}
