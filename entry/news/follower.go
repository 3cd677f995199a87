package news

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/core/news"
	"poplarworks/entry/common"
	"poplarworks/entry/mux"
	"poplarworks/entry/newspb"
	"poplarworks/entry/pause"
)

const (
	dialTimeout = 250 * time.Millisecond // a VM of the same data centre answers within a millisecond
	lookAgain   = 2 * time.Second        // between attempts to follow while this entry reads the store itself
	firstLook   = 100 * time.Millisecond
	mostTried   = 6               // leaders tried in a row; while the store is away none of them has fresh news
	startTime   = 3 * time.Second // in which leaders may still be starting, too
)

// Follower takes the news of another entry; its exported fields are set before Run.
type Follower struct {
	*common.Common
	Leaders  func() []netip.AddrPort // the entries that come before this one, in order
	Patience time.Duration           // longest time that the word of a leader may be behind the store
	Receive  func(n news.News)
	Known    func() uint64 // revision of the configuration that this entry has
}

// Run follows the first leader that has fresh news, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	wait, begun := firstLook, f.Now()
	for ctx.Err() == nil {
		leaders := f.Leaders()
		for _, leader := range leaders[:min(mostTried, len(leaders))] {
			if f.follow(ctx, leader) {
				wait = firstLook
				break
			}
		}
		pause.Sleep(ctx, wait)
		if f.Now().Sub(begun) > startTime {
			wait = min(lookAgain, 2*wait)
		}
	}
}

// follow reports whether the leader had any fresh news before it fell silent.
func (f *Follower) follow(ctx context.Context, leader netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	socket, err := dialer.DialContext(ctx, "tcp", leader.String())
	if err != nil {
		return false
	}
	session, err := yamux.Client(socket, mux.Config(writeTimeout))
	if err != nil {
		_ = socket.Close()
		return false
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Open()
	if err != nil {
		return false
	}
	follow := &newspb.Follow{Name: f.Settings.Name, Incarnation: f.Incarnation, Revision: f.Known()}
	_ = stream.SetDeadline(f.Now().Add(f.Patience)) // fails only on a closed stream, as does the write
	if _, err := protodelim.MarshalTo(stream, follow); err != nil {
		return false
	}
	heard, reason := f.listen(leader, stream)
	if heard {
		f.Log("news").WithField("leader", leader).WithField("reason", reason).Warn("The leader is not followed any more.")
	}
	return heard
}

func (f *Follower) listen(leader netip.AddrPort, stream net.Conn) (heard bool, reason string) {
	reader := bufio.NewReader(stream)
	for {
		wire := &newspb.News{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(reader, wire); err != nil {
			return heard, err.Error()
		}
		n, err := fromWire(wire)
		if err != nil {
			return heard, err.Error()
		}
		if n.Age >= f.Patience {
			return heard, "its news are stale"
		}
		if !heard {
			f.Log("news").WithField("leader", leader).WithField("version", n.Version).Info("A leader is followed.")
		}
		heard = true
		f.Receive(n)
		_ = stream.SetDeadline(f.Now().Add(f.Patience - n.Age)) // fails only on a closed stream, as does the read
	}
}
