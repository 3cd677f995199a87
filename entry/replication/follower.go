package replication

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/core/storeupdate"
	"poplarworks/core/storeversion"
	"poplarworks/entry/common"
	"poplarworks/entry/mux"
	"poplarworks/entry/newspb"
	"poplarworks/entry/pause"
)

const (
	dialTimeout     = 250 * time.Millisecond // A VM of the same data centre answers within a millisecond.
	maxRetryDelay   = 2 * time.Second        // Delay between attempts to follow while this entry reads the store itself.
	minRetryDelay   = 100 * time.Millisecond
	maxLeadersTried = 6               // Leaders tried in a row; during an outage of the store none of them has fresh data.
	startupPeriod   = 3 * time.Second // Leaders may still be starting in this period, so the retry delay does not grow.
)

// Follower receives updates from a leader, another entry of the data centre. Its exported fields are set before Run.
type Follower struct {
	*common.Common
	Leaders               func() []netip.AddrPort     // Returns the entries that come before this one, in order of preference.
	MaxStaleness          time.Duration               // Maximum staleness: the longest time that a leader's updates may lag behind the store.
	Receive               func(n storeupdate.Update)  // Called with each update.
	ConfigurationRevision func() storeversion.Version // Returns the revision of the configuration that this entry has.
}

// Run follows the first leader that sends fresh updates, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	delay, started := minRetryDelay, f.Now()
	for ctx.Err() == nil {
		leaders := f.Leaders()
		for _, leader := range leaders[:min(maxLeadersTried, len(leaders))] {
			if f.follow(ctx, leader) {
				delay = minRetryDelay
				break
			}
		}
		pause.Sleep(ctx, delay)
		if f.Now().Sub(started) > startupPeriod {
			delay = min(maxRetryDelay, 2*delay)
		}
	}
}

// follow receives updates from a leader until they stop or become stale, and reports whether there was a fresh one.
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
	revision := f.ConfigurationRevision()
	follow := &newspb.Follow{
		Name: f.Settings.Name, Incarnation: f.Incarnation, Revision: revision.Number(), RevisionEra: revision.Era(),
	}
	_ = stream.SetDeadline(f.Now().Add(f.MaxStaleness)) // An error means that the stream is closed; the write reports it.
	if _, err := protodelim.MarshalTo(stream, follow); err != nil {
		return false
	}
	received, reason := f.readUpdates(leader, stream)
	if received {
		f.Log("news").WithField("leader", leader).WithField("reason", reason).Warn("Stopped following a leader.")
	}
	return received
}

// readUpdates receives updates until one cannot be read or is stale. It reports whether there was a fresh one, and why
// it ended.
func (f *Follower) readUpdates(leader netip.AddrPort, stream net.Conn) (received bool, reason string) {
	reader := bufio.NewReader(stream)
	for {
		wire := &newspb.News{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(reader, wire); err != nil {
			return received, err.Error()
		}
		n, err := decode(wire)
		if err != nil {
			return received, err.Error()
		}
		if n.Age >= f.MaxStaleness {
			return received, "its updates are stale"
		}
		if !received {
			f.Log("news").WithField("leader", leader).WithField("version", n.Version).Info("Following a leader.")
		}
		received = true
		f.Receive(n)
		_ = stream.SetDeadline(f.Now().Add(f.MaxStaleness - n.Age)) // An error means that the stream is closed; the read reports it.
	}
}
