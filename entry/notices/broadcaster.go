package notices

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"poplarworks/core/bucket"
	"poplarworks/core/crashrecord"
	"poplarworks/core/quarantine"
	"poplarworks/entry/common"
	"poplarworks/entry/crashwire"
	"poplarworks/entry/pause"
	"poplarworks/entry/peerpb"
)

const (
	maxNoticesPerSecond = 20.0 // Per entry. A target that crashes causes a notice for each request in flight at it.
	maxNoticeBurst      = 20.0
	maxTokenWait        = 2 * time.Second // The peers learn of the crash by their queries before a later notice arrives.
	maxDatagramBytes    = 512             // A fingerprint and the name of a target.
	queryInterval       = time.Second
	queriedPeers        = 2
	peersPollInterval   = 50 * time.Millisecond // An entry that has just started does not know its peers yet.
	maxRepliesPerSecond = 20.0                  // Per entry, to queries and to notices of known crashes.
)

// Broadcaster sends and receives notices of crashes. A notice can be lost, and entries that were cut off or have just
// started miss it, so each entry also queries some others for the crashes that they know. The exported fields are set
// before Start.
type Broadcaster struct {
	*common.Common
	Address netip.AddrPort          // Address of this entry.
	Peers   func() []netip.AddrPort // Returns the addresses of the other entries.
	// OnCrash records a crash, and reports whether it was unknown to this entry.
	OnCrash func(fingerprint quarantine.Fingerprint, target string, at time.Time) bool
	// EachRepeated calls the function with each crash of the requests that have crashed more than one target.
	EachRepeated func(call func(fingerprint quarantine.Fingerprint, target string, at time.Time))

	mu           sync.Mutex
	noticeTokens bucket.Bucket
	replyTokens  bucket.Bucket
	socket       *net.UDPConn
}

// Start listens for notices until the context ends. It fails if it cannot listen on the address.
func (b *Broadcaster) Start(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.Address))
	if err != nil {
		return err
	}
	b.socket = socket
	b.noticeTokens = bucket.Bucket{PerSecond: maxNoticesPerSecond, Burst: maxNoticeBurst}
	b.replyTokens = bucket.Bucket{PerSecond: maxRepliesPerSecond, Burst: maxRepliesPerSecond}
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	go b.receive(ctx)
	go b.query(ctx)
	return nil
}

// query asks some peers, chosen at random each time, for the crashes that they know, until the context ends.
func (b *Broadcaster) query(ctx context.Context) {
	for ctx.Err() == nil {
		peers := b.Peers()
		if len(peers) == 0 {
			pause.Sleep(ctx, peersPollInterval)
			continue
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		b.send(&peerpb.Crash{Query: true}, peers[:min(queriedPeers, len(peers))])
		pause.Sleep(ctx, queryInterval)
	}
}

// Broadcast sends a notice to every other entry as soon as the rate limit permits. It drops the notice if that takes
// too long.
func (b *Broadcaster) Broadcast(fingerprint quarantine.Fingerprint, target string, at time.Time) {
	if !b.awaitToken() {
		b.Counter("notices.left-out").Inc(1)
		b.Log("notices").WithField("fingerprint", fingerprint).WithField("target", target).
			Warn("Dropped a notice of a crash: the rate limit was exceeded.")
		return
	}
	b.send(crashwire.ToWire(crashrecord.Record{Fingerprint: fingerprint, Target: target, At: at}, b.Now()), b.Peers())
}

func (b *Broadcaster) send(notice *peerpb.Crash, peers []netip.AddrPort) {
	datagram, err := proto.Marshal(notice)
	if err != nil {
		b.Log("notices").WithError(err).Error("Failed to encode a notice of a crash.")
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
	counter := "notices.sent"
	if notice.GetQuery() {
		counter = "notices.queries"
	}
	b.Counter(counter).Inc(int64(len(peers) - failed))
	if failed > 0 {
		b.Counter("notices.failed").Inc(int64(failed))
		b.Log("notices").WithError(last).WithField("entries", failed).Warn("Failed to send a notice of a crash to some entries.")
	}
}

// awaitToken waits for a token of the rate limit, and reports whether it got one within maxTokenWait.
func (b *Broadcaster) awaitToken() bool {
	for end := b.Now().Add(maxTokenWait); ; {
		b.mu.Lock()
		wait, ok := b.noticeTokens.Take(b.Now())
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

func (b *Broadcaster) receive(ctx context.Context) {
	datagram := make([]byte, maxDatagramBytes)
	for {
		size, from, err := b.socket.ReadFromUDPAddrPort(datagram)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.Counter("notices.errors").Inc(1)
			b.Log("notices").WithError(err).Warn("Failed to read a datagram.")
			continue
		}
		b.handle(datagram[:size], from)
	}
}

// handle records the crash of a notice. If it was known before, the sender may lack the other crashes of the request,
// so they are sent to it, as they are in reply to a query.
func (b *Broadcaster) handle(datagram []byte, from netip.AddrPort) {
	crash := &peerpb.Crash{}
	err := proto.Unmarshal(datagram, crash)
	if err == nil && crash.GetQuery() {
		b.reply(from)
		return
	}
	now := b.Now()
	record, valid := crashwire.FromWire(crash, now)
	if err != nil || !valid {
		b.Counter("notices.bad").Inc(1)
		b.Log("notices").WithField("from", from).WithField("bytes", len(datagram)).Warn("Rejected a datagram that is not a valid notice.")
		return
	}
	if b.OnCrash(record.Fingerprint, record.Target, record.At) {
		b.Counter("notices.received").Inc(1)
		b.Log("notices").WithFields(logrus.Fields{"fingerprint": record.Fingerprint, "target": record.Target, "age": now.Sub(record.At), "from": from}).
			Info("Received a notice of a crash from another entry.")
		return
	}
	if !crash.GetReminder() {
		b.reply(from)
	}
}

// reply sends a peer the crashes of all requests that have crashed more than one target. Replies over the rate limit are
// left out, since the peer asks again.
func (b *Broadcaster) reply(peer netip.AddrPort) {
	var known []*peerpb.Crash
	b.EachRepeated(func(fingerprint quarantine.Fingerprint, target string, at time.Time) {
		reminder := crashwire.ToWire(crashrecord.Record{Fingerprint: fingerprint, Target: target, At: at}, b.Now())
		reminder.Reminder = true
		known = append(known, reminder)
	})
	if len(known) == 0 {
		return
	}
	b.mu.Lock()
	_, ok := b.replyTokens.Take(b.Now())
	b.mu.Unlock()
	if !ok {
		b.Counter("notices.left-out").Inc(1)
		return
	}
	for _, crash := range known {
		b.send(crash, []netip.AddrPort{peer})
	}
}
