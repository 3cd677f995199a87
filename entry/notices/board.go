package notices

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"poplarworks/core/bucket"
	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
	"poplarworks/entry/peerpb"
)

const (
	perSecond    = 20.0 // notices that one entry sends; a target that crashes brings one for each request that it held
	burst        = 20.0
	longestWait  = 2 * time.Second // of a notice for its turn; later it says little
	longestBytes = 512             // of a datagram: a fingerprint and the name of a target
)

// Board sends and receives notices; its exported fields are set before Start. A notice that is lost is not sent again: the
// next crash by the same request brings another.
type Board struct {
	*common.Common
	Address netip.AddrPort          // of this entry
	Peers   func() []netip.AddrPort // of the other entries
	Heard   func(fingerprint quarantine.Fingerprint, target string) bool
	Known   func(fingerprint quarantine.Fingerprint) []string // targets of a request that this entry refuses

	mu        sync.Mutex
	bucket    bucket.Bucket
	reminders bucket.Bucket
	socket    *net.UDPConn
}

// Start listens until the context ends; it fails when the address cannot be used.
func (b *Board) Start(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.Address))
	if err != nil {
		return err
	}
	b.socket = socket
	b.bucket = bucket.Bucket{PerSecond: perSecond, Burst: burst}
	b.reminders = b.bucket
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go b.receive(ctx)
	return nil
}

// Tell sends a notice to every other entry, after a wait for its turn.
func (b *Board) Tell(fingerprint quarantine.Fingerprint, target string) {
	if !b.awaitTurn() {
		b.Counter("notices.left-out").Inc(1)
		b.Log("notices").WithField("target", target).Warn("A crash was not told to the other entries, since there were too many.")
		return
	}
	b.send(&peerpb.Crash{Fingerprint: fingerprint[:], Target: target}, b.Peers())
}

func (b *Board) send(notice *peerpb.Crash, peers []netip.AddrPort) {
	datagram, err := proto.Marshal(notice)
	if err != nil {
		b.Log("notices").WithError(err).Error("A notice cannot be written.")
		return
	}
	failed := 0
	var last error
	for _, peer := range peers {
		if _, err := b.socket.WriteToUDPAddrPort(datagram, peer); err != nil {
			failed++
			last = err
		}
	}
	b.Counter("notices.sent").Inc(int64(len(peers) - failed))
	if failed > 0 {
		b.Counter("notices.failed").Inc(int64(failed))
		b.Log("notices").WithError(last).WithField("entries", failed).Warn("Some entries cannot be told of a crash.")
	}
}

func (b *Board) awaitTurn() bool {
	for end := b.Now().Add(longestWait); ; {
		b.mu.Lock()
		wait, ok := b.bucket.Take(b.Now())
		b.mu.Unlock()
		if ok {
			return true
		}
		if b.Now().Add(wait).After(end) {
			return false
		}
		time.Sleep(wait)
	}
}

func (b *Board) receive(ctx context.Context) {
	datagram := make([]byte, longestBytes)
	for {
		size, from, err := b.socket.ReadFromUDPAddrPort(datagram)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.Counter("notices.errors").Inc(1)
			b.Log("notices").WithError(err).Warn("A notice cannot be read.")
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
		b.Log("notices").WithField("from", from).WithField("bytes", len(datagram)).Warn("A datagram is no notice.")
		return
	}
	fingerprint := quarantine.Fingerprint(crash.GetFingerprint())
	if b.Heard(fingerprint, crash.GetTarget()) {
		b.Log("notices").WithField("target", crash.GetTarget()).WithField("from", from).Debug("Another entry tells of a crash.")
		return
	}
	if !crash.GetReminder() {
		b.remind(fingerprint, from)
	}
}

// remind tells an entry that still lets a refused request through, since it has just started, what crashed before.
func (b *Board) remind(fingerprint quarantine.Fingerprint, peer netip.AddrPort) {
	known := b.Known(fingerprint)
	if len(known) == 0 {
		return
	}
	b.mu.Lock()
	_, ok := b.reminders.Take(b.Now())
	b.mu.Unlock()
	if !ok {
		return
	}
	for _, target := range known {
		b.send(&peerpb.Crash{Fingerprint: fingerprint[:], Target: target, Reminder: true}, []netip.AddrPort{peer})
	}
}
