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

const stopInterval = 100 * time.Millisecond

// Directory holds the services in force; its exported fields are set before Run.
type Directory struct {
	*common.Common
	NewPicker func(random *rand.Rand) balancer.Picker
	Reask     func(s *Service)           // asks some targets for their load while requests wait; may be nil
	Heard     func(since time.Time) bool // whether the records were confirmed since then, which a pause makes necessary; may be nil

	stall    stallGuard
	changed  chan struct{}
	mu       sync.RWMutex
	services map[string]*Service
	cancels  map[string]context.CancelFunc
	shares   map[netip.AddrPort]int
	stops    []stop.Stop

	splitMu  sync.Mutex
	splitter split.Splitter
}

// Start prepares the directory; call it before anything else.
func (d *Directory) Start() {
	d.changed = make(chan struct{}, 1)
	d.stall.heard = d.Heard
}

// Run puts planned stops in force as their time comes, until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.stall.look(d.Now())
			d.applyStops()
		}
	}
}

// Get returns a service by its name.
func (d *Directory) Get(name string) (*Service, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.services[name]
	return s, ok
}

// Choose returns the service that serves the next request of the rule.
func (d *Directory) Choose(r *rule.Rule) (*Service, bool) {
	d.splitMu.Lock()
	name := d.splitter.Service(r)
	d.splitMu.Unlock()
	return d.Get(name)
}

// All returns the services in order of their names.
func (d *Directory) All() map[string]*Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make(map[string]*Service, len(d.services))
	for name, s := range d.services {
		all[name] = s
	}
	return all
}

// Configure puts the records in force.
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
		s := d.service(record.Name)
		if held := s.Record(); held == nil || !reflect.DeepEqual(*held, record) {
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

func (d *Directory) service(name string) *Service {
	if s, ok := d.services[name]; ok {
		return s
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), d.Incarnation))
	s := &Service{
		Common:   d.Common,
		stall:    &d.stall,
		changed:  d.changed,
		reask:    d.Reask,
		balancer: &balancer.Balancer{Self: d.Settings.Name, Home: d.Settings.DataCentre, Picker: d.NewPicker(random), Random: random, Check: d.Check},
		waiters:  map[uint64]chan decision.Decision{},
		wake:     make(chan struct{}, 1),
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
		s.Do(func(b *balancer.Balancer, now time.Time) { b.Stop(now, stops) })
	}
}

// LongChanged is signalled when a long request starts or ends, so that peers can be told at once.
func (d *Directory) LongChanged() <-chan struct{} {
	return d.changed
}

// Stalls counts the pauses of this process that were noticed.
func (d *Directory) Stalls() int {
	return d.stall.count(d.Now())
}

// Share returns the connections that this entry may hold to the address.
func (d *Directory) Share(address netip.AddrPort) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.shares[address]
}

// Dump returns the state of every service, in order of their names.
func (d *Directory) Dump() []snapshot.Service {
	var dumps []snapshot.Service
	for _, s := range d.All() {
		s.Do(func(b *balancer.Balancer, now time.Time) { dumps = append(dumps, b.Dump(now)) })
	}
	slices.SortFunc(dumps, func(a, b snapshot.Service) int { return strings.Compare(a.Name, b.Name) })
	return dumps
}
