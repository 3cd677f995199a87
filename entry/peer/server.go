package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarworks/core/balancer"
	"poplarworks/core/digest"
	"poplarworks/core/membership"
	"poplarworks/core/record"
	"poplarworks/entry/claimwire"
	"poplarworks/entry/crashwire"
	"poplarworks/entry/mux"
	"poplarworks/entry/peerpb"
	"poplarworks/entry/tlsfiles"
)

const answerTimeout = 30 * time.Second // maximum wait for the answer to a request that is in flight here

// Start listens for connections of peers. It fails when the address or the TLS files cannot be used.
func (m *Mesh) Start(ctx context.Context) error {
	m.members.Self = m.Settings.Name
	m.links = map[string]*link{}
	m.pulledAt = map[string]time.Time{}
	if m.Settings.PeerTLS.Enabled() {
		m.loader = &tlsfiles.Loader{Files: m.Settings.PeerTLS}
		if err := m.loader.Check(); err != nil {
			return err
		}
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", m.Settings.PeerAddress.String())
	if err != nil {
		return err
	}
	if m.loader != nil {
		listener = tls.NewListener(listener, m.loader.Server())
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go m.accept(ctx, listener)
	return nil
}

func (m *Mesh) accept(ctx context.Context, listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(&meteredConn{Conn: socket, mesh: m}, mux.Config(writeTimeout))
		if err != nil {
			_ = socket.Close()
			continue
		}
		go m.serve(ctx, session)
	}
}

func (m *Mesh) serve(ctx context.Context, session *yamux.Session) {
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(ctx, stream)
	}
}

// serveStream receives the messages of one stream and sends the replies. It ignores messages of unknown kinds, which
// come from newer entries.
func (m *Mesh) serveStream(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	reader := bufio.NewReader(stream)
	for {
		e, err := readEnvelope(reader)
		if err != nil {
			return
		}
		reply := m.receive(ctx, e)
		if reply == nil {
			continue
		}
		reply.Version = newestVersion
		if _, err := protodelim.MarshalTo(stream, reply); err != nil {
			return
		}
	}
}

// receive processes a message. It returns the reply to a request, and nil for a message that needs none.
func (m *Mesh) receive(ctx context.Context, e *peerpb.Envelope) *peerpb.Envelope {
	switch body := e.GetBody().(type) {
	case *peerpb.Envelope_Hello:
		return m.replyHello(body.Hello)
	case *peerpb.Envelope_Heartbeat:
		m.receiveHeartbeat(body.Heartbeat)
	case *peerpb.Envelope_Records:
		m.receiveRecords(body.Records)
	case *peerpb.Envelope_Leaving:
		m.receiveLeaving(body.Leaving)
	case *peerpb.Envelope_Crash:
		m.receiveCrash(body.Crash)
	case *peerpb.Envelope_Digest:
		m.receiveDigest(body.Digest)
	case *peerpb.Envelope_RecordsRequest:
		return m.replyRecords(body.RecordsRequest)
	case *peerpb.Envelope_AnswerRequest:
		return m.replyAnswer(ctx, body.AnswerRequest)
	case *peerpb.Envelope_WorkRequest:
		return m.replyInFlight(body.WorkRequest)
	case *peerpb.Envelope_DumpRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Dump{Dump: &peerpb.Dump{Json: m.Dump()}}}
	}
	return nil
}

// replyHello replies to the hello of a peer. The reply is empty when the two entries have no protocol version in
// common.
func (m *Mesh) replyHello(hello *peerpb.Hello) *peerpb.Envelope {
	if hello.GetOldestVersion() > newestVersion || hello.GetNewestVersion() < oldestVersion {
		m.Log("peer").WithField("peer", hello.GetName()).Error("A peer supports none of the protocol versions of this entry.")
		return &peerpb.Envelope{}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Name:          m.Settings.Name,
		Incarnation:   m.Incarnation,
		DataCentre:    m.Settings.DataCentre,
		OldestVersion: oldestVersion,
		NewestVersion: newestVersion,
		Revision:      m.Records.CompleteRevision(),
		Leaving:       m.leavingTargets(),
	}}}
}

func (m *Mesh) receiveHeartbeat(h *peerpb.Heartbeat) {
	m.mu.Lock()
	fresh := m.members.ReceiveHeartbeat(m.Now(), membership.Heartbeat{
		Name:        h.GetName(),
		Incarnation: h.GetIncarnation(),
		Sequence:    h.GetSequence(),
		Revision:    h.GetRevision(),
		Leaving:     h.GetLeaving(),
	})
	m.mu.Unlock()
	if fresh {
		m.pullIfBehind(h.GetName(), h.GetRevision())
	}
}

func (m *Mesh) receiveRecords(wire *peerpb.Records) {
	var records []record.Record
	complete := wire.GetHead()
	for _, w := range wire.GetRecords() {
		rec, err := m.codec.FromWire(w)
		if err != nil {
			m.Log("peer").WithError(err).Error("Decoding a record from a peer failed.")
			complete = 0
			continue
		}
		records = append(records, rec)
	}
	m.Records.Receive(records, complete)
}

func (m *Mesh) receiveCrash(crash *peerpb.Crash) {
	if r, ok := crashwire.FromWire(crash, m.Now()); ok {
		m.Crashes.CountCrash(r.Fingerprint, r.Target, r.At)
	}
}

func (m *Mesh) receiveLeaving(l *peerpb.Leaving) {
	s, ok := m.Services.Get(l.GetService())
	if !ok {
		return
	}
	s.WithBalancer(func(b *balancer.Balancer, now time.Time) { b.MarkLeaving(now, l.GetTarget()) })
}

// receiveDigest stores the loads of a peer. The peer is no longer active at services that the digest leaves out.
func (m *Mesh) receiveDigest(d *peerpb.Digest) {
	loads := map[string]map[string]digest.Load{}
	for _, part := range d.GetServices() {
		targets := map[string]digest.Load{}
		for _, t := range part.GetTargets() {
			targets[t.GetTarget()] = digest.Load{InFlight: int(t.GetInFlight()), LongInFlight: int(t.GetLongInFlight())}
		}
		loads[part.GetService()] = targets
	}
	for name, s := range m.Services.All() {
		targets, active := loads[name]
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) {
			if active {
				b.SetPeerDigest(now, d.GetName(), targets)
			} else {
				b.RemovePeer(now, d.GetName())
			}
		})
	}
}

func (m *Mesh) replyRecords(r *peerpb.RecordsRequest) *peerpb.Envelope {
	records, complete := m.Records.ChangedSince(r.GetAbove())
	wire := &peerpb.Records{Head: complete}
	for _, rec := range records {
		wire.Records = append(wire.Records, m.codec.ToWire(rec))
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Records{Records: wire}}
}

// replyAnswer waits for the answer to a request that is in flight here. Requests of other incarnations are not known.
func (m *Mesh) replyAnswer(ctx context.Context, r *peerpb.AnswerRequest) *peerpb.Envelope {
	reply := &peerpb.Answer{}
	if r.GetIncarnation() == m.Incarnation {
		bounded, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		kept, known := m.Claims.Await(bounded, r.GetNonce())
		reply.Known, reply.Kept = known, claimwire.AnswerToWire(kept)
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Answer{Answer: reply}}
}

func (m *Mesh) replyInFlight(r *peerpb.WorkRequest) *peerpb.Envelope {
	work := &peerpb.Work{Revision: m.Records.CompleteRevision()}
	if r.GetTarget() == "" {
		work.InFlight, work.Open = uint32(m.InFlight()), !m.IsDraining()
	} else if s, ok := m.Services.Get(r.GetService()); ok {
		s.WithBalancer(func(b *balancer.Balancer, now time.Time) {
			inFlight, open := b.InFlight(now, r.GetTarget())
			work.InFlight, work.Open = uint32(inFlight), open
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Work{Work: work}}
}
