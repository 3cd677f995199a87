package balancer

import (
	"time"

	"poplarworks/core/digest"
)

const digestLifetime = 5 * time.Second

// peerLoad is what a peer said of its requests in flight.
type peerLoad struct {
	at      time.Time
	busyAt  time.Time // when it last had any
	targets map[string]digest.Load
}

// Digest returns this entry's requests in flight by target, without the targets that have none.
func (b *Balancer) Digest() map[string]digest.Load {
	loads := map[string]digest.Load{}
	for _, t := range b.targets {
		if own := t.load.Own(); own > 0 {
			loads[t.record.Name] = digest.Load{InFlight: own, Long: t.long}
		}
	}
	return loads
}

// Long returns this entry's long requests in flight.
func (b *Balancer) Long() int {
	return b.long
}

// Knows reports whether the peer has said that it has requests in flight.
func (b *Balancer) Knows(peer string) bool {
	return len(b.peers[peer].targets) > 0
}

// PeerDigest takes a peer's digest, which replaces its former one.
func (b *Balancer) PeerDigest(now time.Time, peer string, loads map[string]digest.Load) {
	held := b.peers[peer]
	held.at, held.targets = now, loads
	if len(loads) > 0 {
		held.busyAt = now
	}
	b.peers[peer] = held
	b.addPeers(now)
}

func (b *Balancer) addPeers(now time.Time) {
	long, inFlight := map[string]int{}, map[string]int{}
	for peer, p := range b.peers {
		if now.Sub(p.at) > digestLifetime {
			delete(b.peers, peer)
			continue
		}
		for name, l := range p.targets {
			long[name] += l.Long
			inFlight[name] += l.InFlight
		}
	}
	b.divide(now)
	for _, t := range b.targets {
		t.peersLong = long[t.record.Name]
		if b.service.LoadHeader == "" {
			t.load.Report(now, t.load.Own()+inFlight[t.record.Name])
		}
	}
}
