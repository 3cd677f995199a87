package peer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"poplarworks/core/answer"
	"poplarworks/core/balancer"
	"poplarworks/core/catalog"
	"poplarworks/core/digest"
	"poplarworks/core/memberlife"
	"poplarworks/core/membership"
	"poplarworks/core/quarantine"
	"poplarworks/core/record"
	"poplarworks/entry/common"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/peerpb"
	"poplarworks/entry/recordwire"
	"poplarworks/entry/tlsfiles"
	"poplarworks/entry/vmlist"
)

// Protocol versions that this entry speaks.
const (
	oldestVersion = 1
	newestVersion = 1
)

const (
	heartbeatInterval = time.Second
	listInterval      = time.Second
	digestInterval    = 250 * time.Millisecond
	longInterval      = 5 * time.Millisecond // between digests while long requests start and end
	repeatInterval    = 10 * time.Second     // between digests that say the same
	pullInterval      = time.Second
	pullTimeout       = 5 * time.Second
	informPatience    = 2 * time.Second // in which a new entry probes its targets, too
)

type vmSource interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

type recordKeeper interface {
	Catalog() *catalog.Catalog
	Complete() uint64
	Ready() bool
	Above(revision uint64) ([]record.Record, uint64)
	Receive(records []record.Record, complete uint64)
}

type claimKeeper interface {
	Await(ctx context.Context, nonce string) (*answer.Answer, bool)
}

type crashKeeper interface {
	Heard(fingerprint quarantine.Fingerprint, target string) bool
}

type services interface {
	Get(name string) (*dispatch.Service, bool)
	All() map[string]*dispatch.Service
	LongChanged() <-chan struct{}
}

// Mesh holds a connection to every other entry; its exported fields are set before Run.
type Mesh struct {
	*common.Common
	VMs      vmSource
	Records  recordKeeper
	Claims   claimKeeper
	Crashes  crashKeeper
	Services services
	Dump     func() []byte
	Leaving  func() bool // whether this entry is stopping
	InFlight func() int  // requests that this entry serves

	codec  recordwire.Codec
	loader *tlsfiles.Loader

	mu       sync.Mutex
	members  membership.Members
	links    map[string]*link
	pulledAt map[string]time.Time
	sequence uint64
	informed atomic.Bool
}

// Informed reports whether this entry has heard what its peers know, or has waited for them for long enough.
func (m *Mesh) Informed() bool {
	return m.informed.Load()
}

// left lists the targets that are leaving.
func (m *Mesh) left() []*peerpb.Leaving {
	var list []*peerpb.Leaving
	for name, s := range m.Services.All() {
		var targets []string
		s.Do(func(b *balancer.Balancer, _ time.Time) { targets = b.Left() })
		for _, target := range targets {
			list = append(list, &peerpb.Leaving{Service: name, Target: target})
		}
	}
	return list
}

// Members returns the other entries as seen from here.
func (m *Mesh) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.All()
}

// Run follows the members and talks to them until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	patience := time.AfterFunc(informPatience, func() { m.informed.Store(true) })
	defer patience.Stop()
	go m.followList(ctx)
	go m.sendDigests(ctx)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		m.beat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) followList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		vms, err := m.VMs.List(ctx)
		if err != nil {
			m.Log("peer").WithError(err).Debug("The VM list cannot be read.")
		} else {
			m.setList(ctx, vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setList opens links to new members and closes those of members that are gone.
func (m *Mesh) setList(ctx context.Context, vms []vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var listed []membership.Member
	for _, vm := range vms {
		listed = append(listed, membership.Member{Name: vm.Name, Peer: vm.Peer, DataCentre: vm.DataCentre})
	}
	now := m.Now()
	m.members.SetList(now, listed)
	wanted := map[string]bool{}
	for _, member := range m.members.All() {
		if !member.Peer.IsValid() || !member.Listed && member.State == memberlife.Dead {
			continue
		}
		wanted[member.Name] = true
		m.openLink(ctx, member)
	}
	if len(wanted) == 0 {
		m.informed.Store(true)
	}
	for name, l := range m.links {
		if !wanted[name] {
			l.cancel()
			delete(m.links, name)
		}
	}
}

// openLink is called with the lock held; a member that has moved gets a new link.
func (m *Mesh) openLink(ctx context.Context, member membership.Member) {
	held, ok := m.links[member.Name]
	if ok && held.address == member.Peer {
		return
	}
	if ok {
		held.cancel()
	}
	bounded, cancel := context.WithCancel(ctx)
	l := &link{mesh: m, name: member.Name, address: member.Peer, cancel: cancel, outbox: make(chan *peerpb.Envelope, outboxSize)}
	m.links[member.Name] = l
	go l.run(bounded)
}

// beat sends heartbeats, and with them the targets that are leaving, since a notice may have been lost.
func (m *Mesh) beat() {
	m.mu.Lock()
	m.members.Tick(m.Now())
	silent := m.silent()
	m.mu.Unlock()
	m.forget(silent)
	m.broadcast(m.heartbeat())
	for _, l := range m.left() {
		m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: l}})
	}
}

// heartbeat returns the next heartbeat of this entry.
func (m *Mesh) heartbeat() *peerpb.Envelope {
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	m.mu.Unlock()
	return &peerpb.Envelope{Version: newestVersion, Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Name:        m.Settings.Name,
		Incarnation: m.Incarnation,
		Sequence:    sequence,
		Revision:    m.Records.Complete(),
		Leaving:     m.Leaving(),
	}}}
}

// silent names the members that are not heard at present; it is called with the lock held.
func (m *Mesh) silent() []string {
	var names []string
	for _, member := range m.members.All() {
		if member.State != memberlife.Alive {
			names = append(names, member.Name)
		}
	}
	return names
}

// forget takes silent members out of the division of the slots.
func (m *Mesh) forget(names []string) {
	for _, s := range m.Services.All() {
		s.Do(func(b *balancer.Balancer, now time.Time) {
			for _, name := range names {
				b.PeerGone(now, name)
			}
		})
	}
}

func (m *Mesh) broadcast(e *peerpb.Envelope) {
	e.Version = newestVersion
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.send(e)
	}
}

// TellRecords sends new records to all peers.
func (m *Mesh) TellRecords(records []record.Record) {
	wire := &peerpb.Records{}
	for _, rec := range records {
		wire.Records = append(wire.Records, m.codec.ToWire(rec))
	}
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Records{Records: wire}})
}

// TellLeaving tells all peers that a target is leaving.
func (m *Mesh) TellLeaving(service, target string) {
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Service: service, Target: target}}})
}

// TellCrash tells all peers of a request that crashed a target.
func (m *Mesh) TellCrash(fingerprint quarantine.Fingerprint, target string) {
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: &peerpb.Crash{Fingerprint: fingerprint[:], Target: target}}})
}

// sendDigests tells the peers at once when long requests start or end or services become active, and else says the same
// again now and then, for peers that missed it.
func (m *Mesh) sendDigests(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	var sent *peerpb.Digest
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.Services.LongChanged():
			time.Sleep(longInterval) // others may change at the same moment
		case <-ticker.C:
		}
		wire := m.digest()
		if proto.Equal(wire, sent) && m.Now().Sub(sentAt) < repeatInterval {
			continue
		}
		sent, sentAt = wire, m.Now()
		m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: wire}})
	}
}

// digest names the services at which this entry is active, in order, so that equal digests look equal.
func (m *Mesh) digest() *peerpb.Digest {
	wire := &peerpb.Digest{Name: m.Settings.Name}
	all := m.Services.All()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		var loads map[string]digest.Load
		var active bool
		all[name].Do(func(b *balancer.Balancer, now time.Time) { loads, active = b.Digest(now) })
		if !active && len(loads) == 0 {
			continue
		}
		part := &peerpb.ServiceLoad{Service: name}
		for _, target := range slices.Sorted(maps.Keys(loads)) {
			part.Targets = append(part.Targets, &peerpb.TargetLoad{
				Target:       target,
				InFlight:     uint32(loads[target].InFlight),
				LongInFlight: uint32(loads[target].Long),
			})
		}
		wire.Services = append(wire.Services, part)
	}
	return wire
}
