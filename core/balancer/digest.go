package balancer

import (
	"time"

	"poplarworks/core/digest"
)

const (
	maxDigestAge  = 30 * time.Second // three times the interval at which unchanged digests are resent
	activeTimeout = 5 * time.Second  // an entry counts as active for this long after its last request to the service
)

// peerLoad is the last digest of a peer that is active at the service.
type peerLoad struct {
	at      time.Time
	targets map[string]digest.Load
}

// Digest returns this entry's long requests by target, for its peers, and whether this entry is active at the service.
// If the targets give no load reports, the digest has all requests in flight. Other state is left out, since it
// changes with every request and would be out of date on arrival.
func (b *Balancer) Digest(now time.Time) (loads map[string]digest.Load, active bool) {
	loads = map[string]digest.Load{}
	for _, t := range b.targets {
		own := t.load.OwnInFlight()
		if t.longInFlight > 0 || b.service.LoadHeader == "" && own > 0 {
			loads[t.record.Name] = digest.Load{InFlight: own, LongInFlight: t.longInFlight}
		}
	}
	return loads, !b.lastRequestAt.IsZero() && now.Sub(b.lastRequestAt) <= activeTimeout
}

// LongInFlight returns the number of this entry's long requests in flight.
func (b *Balancer) LongInFlight() int {
	return b.longInFlight
}

// SetPeerDigest replaces the digest of a peer that is active at the service.
func (b *Balancer) SetPeerDigest(now time.Time, peer string, loads map[string]digest.Load) {
	b.peers[peer] = peerLoad{at: now, targets: loads}
	b.applyPeerLoads(now)
}

// RemovePeer drops the digest of a peer that is no longer active at the service or no longer reachable.
func (b *Balancer) RemovePeer(now time.Time, peer string) {
	if _, known := b.peers[peer]; !known {
		return
	}
	delete(b.peers, peer)
	b.applyPeerLoads(now)
}

// applyPeerLoads drops expired digests, updates the slot shares, and sums up the long requests of the peers by target.
// If the targets give no load reports, the peers' requests in flight count as the load.
func (b *Balancer) applyPeerLoads(now time.Time) {
	long, inFlight := map[string]int{}, map[string]int{}
	for peer, p := range b.peers {
		if now.Sub(p.at) > maxDigestAge {
			delete(b.peers, peer)
			continue
		}
		for name, l := range p.targets {
			long[name] += l.LongInFlight
			inFlight[name] += l.InFlight
		}
	}
	b.updateActiveEntries()
	for _, t := range b.targets {
		t.peersLongInFlight = long[t.record.Name]
		if b.service.LoadHeader == "" {
			t.load.Report(now, t.load.OwnInFlight()+inFlight[t.record.Name])
		}
	}
}
