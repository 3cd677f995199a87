package notices

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"poplarworks/core/bucket"
	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
	"poplarworks/entry/peerpb"
)

const (
	perSecond    = 5.0 // notices that one entry sends; a request that crashes targets comes again far less often
	burst        = 20.0
	longestBytes = 512 // of a datagram: a fingerprint and the name of a target
)

// Board sends and receives notices; its exported fields are set before Start. A notice that is lost is not sent again: the
// next crash by the same request brings another.
type Board struct {
	*common.Common
	Address netip.AddrPort          // of this entry
	Peers   func() []netip.AddrPort // of the other entries
	Heard   func(fingerprint quarantine.Fingerprint, target string) bool

	mu     sync.Mutex
	bucket bucket.Bucket
	socket *net.UDPConn
}

// Start listens until the context ends; it fails when the address cannot be used.
func (b *Board) Start(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.Address))
	if err != nil {
		return err
	}
	b.socket = socket
	b.bucket = bucket.Bucket{PerSecond: perSecond, Burst: burst}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go b.receive(ctx)
	return nil
}

// Tell sends a notice to every other entry.
func (b *Board) Tell(fingerprint quarantine.Fingerprint, target string) {
	if !b.take() {
		b.Counter("notices.left-out").Inc(1)
		b.Log("notices").WithField("target", target).Warn("A crash was not told to the other entries, since there were too many.")
		return
	}
	datagram, err := proto.Marshal(&peerpb.Crash{Fingerprint: fingerprint[:], Target: target})
	if err != nil {
		b.Log("notices").WithError(err).Error("A notice cannot be written.")
		return
	}
	failed := 0
	peers := b.Peers()
	for _, peer := range peers {
		if _, err := b.socket.WriteToUDPAddrPort(datagram, peer); err != nil {
			failed++
		}
	}
	b.Counter("notices.sent").Inc(int64(len(peers) - failed))
	b.Counter("notices.failed").Inc(int64(failed))
}

func (b *Board) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.bucket.Take(b.Now())
	return ok
}

func (b *Board) receive(ctx context.Context) {
	datagram := make([]byte, longestBytes)
	for {
		size, from, err := b.socket.ReadFromUDPAddrPort(datagram)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// On loopback a peer that is gone shows here as a refused connection.
			b.Counter("notices.errors").Inc(1)
			continue
		}
		b.accept(datagram[:size], from)
	}
}

func (b *Board) accept(datagram []byte, from netip.AddrPort) {
	crash := &peerpb.Crash{}
	err := proto.Unmarshal(datagram, crash)
	if err != nil || len(crash.GetFingerprint()) != len(quarantine.Fingerprint{}) || crash.GetTarget() == "" {
		b.Counter("notices.bad").Inc(1)
		return
	}
	if b.Heard(quarantine.Fingerprint(crash.GetFingerprint()), crash.GetTarget()) {
		b.Log("notices").WithField("target", crash.GetTarget()).WithField("from", from).Debug("Another entry tells of a crash.")
	}
}
