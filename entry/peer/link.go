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
	outboxSize    = 512
	dialTimeout   = time.Second
	firstRedial   = 100 * time.Millisecond
	longestRedial = 2 * time.Second
	writeTimeout  = 2 * time.Second
	recordsPeriod = 10 * time.Millisecond
	maxMessage    = 64 << 20
)

// errNoLink says that there is no connection to the peer.
var errNoLink = errors.New("no connection to the peer")

// link is the connection over which this entry speaks to one peer; the peer answers, but speaks first over its own.
type link struct {
	mesh    *Mesh
	name    string
	address netip.AddrPort
	cancel  context.CancelFunc
	outbox  chan *peerpb.Envelope

	mu      sync.Mutex
	session *yamux.Session
}

// send queues a notice; when the peer does not keep up it is dropped, since heartbeats lead to what was missed.
func (l *link) send(e *peerpb.Envelope) {
	select {
	case l.outbox <- e:
	default:
		l.mesh.Counter("peer.dropped").Inc(1)
	}
}

// run keeps the link connected until the context ends.
func (l *link) run(ctx context.Context) {
	wait := firstRedial
	for ctx.Err() == nil {
		session, err := l.dial(ctx)
		if err == nil {
			wait = firstRedial
			l.speak(ctx, session)
			_ = session.Close()
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		wait = min(longestRedial, 2*wait)
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

// speak greets the peer and sends the notices until the connection breaks.
func (l *link) speak(ctx context.Context, session *yamux.Session) {
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
		Revision:      l.mesh.Records.Complete(),
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
	l.mesh.Log("peer").WithField("peer", l.name).Info("Connected to a peer.")
	// The last heartbeat may be from before this connection; the peer must not wait for the next one to know this entry.
	l.send(l.mesh.heartbeat())
	go l.inform(ctx, reply.GetHello().GetLeaving())
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

// inform takes in which targets are leaving, once there are records that say which targets there are.
func (l *link) inform(ctx context.Context, leaving []*peerpb.Leaving) {
	for !l.mesh.Records.Ready() && ctx.Err() == nil {
		time.Sleep(recordsPeriod)
	}
	for _, left := range leaving {
		l.mesh.receiveLeaving(left)
	}
	l.mesh.informed.Store(true)
}

func (l *link) setSession(session *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
}

// ask sends a question on a stream of its own and returns the reply.
func (l *link) ask(ctx context.Context, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session == nil {
		return nil, errNoLink
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
	err := protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(from, e)
	return e, err
}

// meteredConn counts the bytes of control traffic that this entry sends and receives.
type meteredConn struct {
	net.Conn

	mesh *Mesh
}

// Read counts what it reads.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mesh.Counter("peer.bytes-in").Inc(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.mesh.Counter("peer.bytes-out").Inc(int64(n))
	return n, err
}
