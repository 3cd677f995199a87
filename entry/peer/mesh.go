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
	"poplarworks/core/crashrecord"
	"poplarworks/core/digest"
	"poplarworks/core/membership"
	"poplarworks/core/memberstate"
	"poplarworks/core/quarantine"
	"poplarworks/core/record"
	"poplarworks/entry/common"
	"poplarworks/entry/crashwire"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/peerpb"
	"poplarworks/entry/recordwire"
	"poplarworks/entry/tlsfiles"
	"poplarworks/entry/vmlist"
)

// The range of protocol versions that this entry speaks.
const (
	oldestVersion = 1
	newestVersion = 1
)

const (
	heartbeatInterval    = time.Second
	vmListInterval       = time.Second
	digestInterval       = 250 * time.Millisecond
	digestCoalesceDelay  = 5 * time.Millisecond // one digest covers long requests that start or end together
	digestResendInterval = 10 * time.Second     // after which an unchanged digest is sent again
	pullInterval         = time.Second
	pullTimeout          = 5 * time.Second
	initialSyncTimeout   = 2 * time.Second // a new entry probes its targets during this time too
)

type vmLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

type recordStore interface {
	Catalog() *catalog.Catalog
	CompleteRevision() uint64
	Ready() bool
	ChangedSince(revision uint64) ([]record.Record, uint64)
	Receive(records []record.Record, complete uint64)
}

type claimManager interface {
	Await(ctx context.Context, nonce string) (*answer.Answer, bool)
}

type crashTracker interface {
	CountCrash(fingerprint quarantine.Fingerprint, target string, at time.Time) bool
	EachRepeated(call func(fingerprint quarantine.Fingerprint, target string, at time.Time))
}

type serviceDirectory interface {
	Get(name string) (*dispatch.Service, bool)
	All() map[string]*dispatch.Service
	LongInFlightChanged() <-chan struct{}
}

// Mesh keeps a connection to every other entry. Its exported fields must be set before Start.
type Mesh struct {
	*common.Common
	VMs        vmLister
	Records    recordStore
	Claims     claimManager
	Crashes    crashTracker
	Services   serviceDirectory
	Dump       func() []byte
	IsDraining func() bool // reports whether this entry is draining
	InFlight   func() int  // returns the number of requests that this entry serves

	codec  recordwire.Codec
	loader *tlsfiles.Loader

	mu       sync.Mutex
	members  membership.Members
	links    map[string]*link
	pulledAt map[string]time.Time
	sequence uint64
	synced   atomic.Bool
}

// Synced reports whether this entry has received the initial state of a peer. It also becomes true when there are no
// peers, or when initialSyncTimeout has passed.
func (m *Mesh) Synced() bool {
	return m.synced.Load()
}

// leavingTargets lists the targets of all services that are leaving.
func (m *Mesh) leavingTargets() []*peerpb.Leaving {
	var list []*peerpb.Leaving
	for name, s := range m.Services.All() {
		var targets []string
		s.WithBalancer(func(b *balancer.Balancer, _ time.Time) { targets = b.LeavingTargets() })
		for _, target := range targets {
			list = append(list, &peerpb.Leaving{Service: name, Target: target})
		}
	}
	return list
}

// Members returns the other entries and their state as this entry sees them.
func (m *Mesh) Members() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.All()
}

// Run polls the VM list and sends heartbeats and digests until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	timeout := time.AfterFunc(initialSyncTimeout, func() { m.synced.Store(true) })
	defer timeout.Stop()
	go m.pollVMList(ctx)
	go m.sendDigests(ctx)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		m.sendHeartbeats()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		vms, err := m.VMs.List(ctx)
		if err != nil {
			m.Log("peer").WithError(err).Debug("Reading the VM list failed.")
		} else {
			m.setVMs(ctx, vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// setVMs updates the members from the VM list. It opens links to new members and closes the links of members that are
// gone.
func (m *Mesh) setVMs(ctx context.Context, vms []vmlist.VM) {
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
		if !member.Peer.IsValid() || !member.Listed && member.State == memberstate.Dead {
			continue
		}
		wanted[member.Name] = true
		m.openLink(ctx, member)
	}
	if len(wanted) == 0 {
		m.synced.Store(true)
	}
	for name, l := range m.links {
		if !wanted[name] {
			l.cancel()
			delete(m.links, name)
		}
	}
}

// openLink opens a link to a member, and replaces the link when the address has changed. It must be called with the
// lock held.
func (m *Mesh) openLink(ctx context.Context, member membership.Member) {
	current, ok := m.links[member.Name]
	if ok && current.address == member.Peer {
		return
	}
	if ok {
		current.cancel()
	}
	bounded, cancel := context.WithCancel(ctx)
	l := &link{mesh: m, name: member.Name, address: member.Peer, cancel: cancel, outbox: make(chan *peerpb.Envelope, outboxSize)}
	m.links[member.Name] = l
	go l.run(bounded)
}

// sendHeartbeats sends a heartbeat to every peer. It repeats the leaving targets and the crashes each time, since an
// earlier message may have been dropped or the peer may have just started.
func (m *Mesh) sendHeartbeats() {
	m.mu.Lock()
	m.members.Tick(m.Now())
	overdue := m.membersNotAlive()
	m.mu.Unlock()
	m.removePeers(overdue)
	m.broadcast(m.heartbeat())
	for _, l := range m.leavingTargets() {
		m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: l}})
	}
	m.Crashes.EachRepeated(m.BroadcastCrash)
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
		Revision:    m.Records.CompleteRevision(),
		Leaving:     m.IsDraining(),
	}}}
}

// membersNotAlive lists the members whose heartbeats are overdue. It must be called with the lock held.
func (m *Mesh) membersNotAlive() []string {
	var names []string
	for _, member := range m.members.All() {
		if member.State != memberstate.Alive {
			names = append(names, member.Name)
		}
	}
	return names
}

// removePeers excludes the members from the division of the slots of every service.
func (m *Mesh) removePeers(names []string) {
	for _, s := range m.Services.All() {
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) {
			for _, name := range names {
				b.RemovePeer(now, name)
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

// BroadcastRecords sends new records to all peers.
func (m *Mesh) BroadcastRecords(records []record.Record) {
	wire := &peerpb.Records{}
	for _, rec := range records {
		wire.Records = append(wire.Records, m.codec.ToWire(rec))
	}
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Records{Records: wire}})
}

// BroadcastLeaving informs all peers that a target is leaving.
func (m *Mesh) BroadcastLeaving(service, target string) {
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Leaving{Leaving: &peerpb.Leaving{Service: service, Target: target}}})
}

// BroadcastCrash informs all peers of a request that crashed a target.
func (m *Mesh) BroadcastCrash(fingerprint quarantine.Fingerprint, target string, at time.Time) {
	record := crashrecord.Record{Fingerprint: fingerprint, Target: target, At: at}
	m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Crash{Crash: crashwire.ToWire(record, m.Now())}})
}

// sendDigests sends a digest as soon as long requests start or end or services become active. It repeats an unchanged
// digest every digestResendInterval, for peers that missed it.
func (m *Mesh) sendDigests(ctx context.Context) {
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	var sent *peerpb.Digest
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.Services.LongInFlightChanged():
			time.Sleep(digestCoalesceDelay) // further changes often follow within this delay
		case <-ticker.C:
		}
		wire := m.digest()
		if proto.Equal(wire, sent) && m.Now().Sub(sentAt) < digestResendInterval {
			continue
		}
		sent, sentAt = wire, m.Now()
		m.broadcast(&peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: wire}})
	}
}

// digest returns the load of each service at which this entry is active. The order is fixed, so that equal digests
// compare as equal.
func (m *Mesh) digest() *peerpb.Digest {
	wire := &peerpb.Digest{Name: m.Settings.Name}
	all := m.Services.All()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		var loads map[string]digest.Load
		var active bool
		all[name].WithBalancer(func(b *balancer.Balancer, now time.Time) { loads, active = b.Digest(now) })
		if !active && len(loads) == 0 {
			continue
		}
		part := &peerpb.ServiceLoad{Service: name}
		for _, target := range slices.Sorted(maps.Keys(loads)) {
			part.Targets = append(part.Targets, &peerpb.TargetLoad{
				Target:       target,
				InFlight:     uint32(loads[target].InFlight),
				LongInFlight: uint32(loads[target].LongInFlight),
			})
		}
		wire.Services = append(wire.Services, part)
	}
	return wire
}
