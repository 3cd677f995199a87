package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/entry/mux"
	"poplarworks/entry/peerpb"
)

const (
	outboxSize          = 512
	dialTimeout         = time.Second
	minRedialWait       = 100 * time.Millisecond
	maxRedialWait       = 2 * time.Second
	writeTimeout        = 2 * time.Second
	recordsPollInterval = 10 * time.Millisecond
	maxMessageBytes     = 64 << 20
)

// errNotConnected reports that there is no connection to the peer.
var errNotConnected = errors.New("no connection to the peer")

// link is the connection over which this entry sends messages and requests to one peer.
// The peer replies on it, and opens a connection of its own for the other direction.
type link struct {
	mesh    *Mesh
	name    string
	address netip.AddrPort
	cancel  context.CancelFunc
	outbox  chan *peerpb.Envelope

	mu      sync.Mutex
	session *yamux.Session
}

// send queues a message. It drops the message when the queue is full because the peer does not keep up;
// the heartbeats let the peer find out and fetch what it missed.
func (l *link) send(e *peerpb.Envelope) {
	select {
	case l.outbox <- e:
	default:
		l.mesh.Counter("peer.dropped").Inc(1)
	}
}

// run keeps the link connected until the context ends. The wait between attempts grows from minRedialWait to
// maxRedialWait.
func (l *link) run(ctx context.Context) {
	wait := minRedialWait
	for ctx.Err() == nil {
		session, err := l.dial(ctx)
		if err == nil {
			wait = minRedialWait
			l.runSession(ctx, session)
			_ = session.Close()
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		wait = min(maxRedialWait, 2*wait)
	}
}

func (l *link) dial(ctx context.Context) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", l.address.String())
	if err != nil {
		return nil, err
	}
	if l.mesh.loader != nil {
		config, err := l.mesh.loader.Client(l.address.Addr().String())
		if err != nil {
			_ = socket.Close()
			return nil, err
		}
		socket = tls.Client(socket, config)
	}
	session, err := yamux.Client(&meteredConn{Conn: socket, mesh: l.mesh}, mux.Config(writeTimeout))
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return session, nil
}

// runSession exchanges hellos with the peer and then sends the queued messages until the connection breaks.
func (l *link) runSession(ctx context.Context, session *yamux.Session) {
	stream, err := session.Open()
	if err != nil {
		return
	}
	hello := &peerpb.Envelope{Version: newestVersion, Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Name:          l.mesh.Settings.Name,
		Incarnation:   l.mesh.Incarnation,
		DataCentre:    l.mesh.Settings.DataCentre,
		OldestVersion: oldestVersion,
		NewestVersion: newestVersion,
		Revision:      l.mesh.Records.CompleteRevision(),
	}}}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		return
	}
	reply, err := readEnvelope(bufio.NewReader(stream))
	if err != nil || reply.GetHello() == nil {
		return
	}
	l.setSession(session)
	defer l.setSession(nil)
	l.mesh.Log("peer").WithField("peer", l.name).Info("The connection to a peer is established.")
	// The previous heartbeat may have been sent before this connection existed. Sending one now lets the peer see this
	// entry as alive without waiting for the next interval.
	l.send(l.mesh.heartbeat())
	go l.receiveInitialState(ctx, reply.GetHello().GetLeaving())
	l.mesh.pullIfBehind(l.name, reply.GetHello().GetRevision())
	l.send(&peerpb.Envelope{Version: newestVersion, Body: &peerpb.Envelope_Digest{Digest: l.mesh.digest()}})
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case e := <-l.outbox:
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := protodelim.MarshalTo(stream, e); err != nil {
				return
			}
		}
	}
}

// receiveInitialState waits for the records, which name the targets, and applies the peer's list of leaving targets.
// The mesh is synced after that.
func (l *link) receiveInitialState(ctx context.Context, leaving []*peerpb.Leaving) {
	for !l.mesh.Records.Ready() && ctx.Err() == nil {
		time.Sleep(recordsPollInterval)
	}
	for _, left := range leaving {
		l.mesh.receiveLeaving(left)
	}
	l.mesh.synced.Store(true)
}

func (l *link) setSession(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
}

// request sends a request on a stream of its own and returns the reply.
func (l *link) request(ctx context.Context, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session == nil {
		return nil, errNotConnected
	}
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	e.Version = newestVersion
	if _, err := protodelim.MarshalTo(stream, e); err != nil {
		return nil, err
	}
	return readEnvelope(bufio.NewReader(stream))
}

func readEnvelope(from *bufio.Reader) (*peerpb.Envelope, error) {
	e := &peerpb.Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(from, e)
	return e, err
}

// meteredConn counts the bytes of control traffic that this entry sends and receives.
type meteredConn struct {
	net.Conn

	mesh *Mesh
}

// Read counts the bytes received.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mesh.Counter("peer.bytes-in").Inc(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.mesh.Counter("peer.bytes-out").Inc(int64(n))
	return n, err
}
