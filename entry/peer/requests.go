package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
	"poplarworks/entry/claimwire"
	"poplarworks/entry/peerpb"
)

// InFlightReport is the number of requests that an entry has in flight at a target, or serves itself.
type InFlightReport struct {
	Entry      string
	InFlight   int
	AcceptsNew bool // new requests may still start
	Revision   uint64
}

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

func (m *Mesh) request(ctx context.Context, peer string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	l := m.link(peer)
	if l == nil {
		return nil, errNotConnected
	}
	return l.request(ctx, e)
}

// FetchAnswer requests the answer of a claimed request from the entry that holds the claim, and waits for it. The
// result known is false when that entry cannot tell or cannot be reached.
func (m *Mesh) FetchAnswer(ctx context.Context, row claimrow.Row, key string) (kept *answer.Answer, known bool) {
	reply, err := m.request(ctx, row.Entry, &peerpb.Envelope{Body: &peerpb.Envelope_AnswerRequest{AnswerRequest: &peerpb.AnswerRequest{
		Claim:       key,
		Incarnation: row.Incarnation,
		Nonce:       row.Nonce,
	}}})
	if err != nil {
		return nil, false
	}
	return claimwire.AnswerFromWire(reply.GetAnswer().GetKept()), reply.GetAnswer().GetKnown()
}

// FetchInFlight requests the number of requests that a peer has in flight at a target. An empty target stands for the
// peer itself.
func (m *Mesh) FetchInFlight(ctx context.Context, peer, service, target string) (InFlightReport, error) {
	reply, err := m.request(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_WorkRequest{WorkRequest: &peerpb.WorkRequest{
		Service: service,
		Target:  target,
	}}})
	if err != nil {
		return InFlightReport{}, err
	}
	w := reply.GetWork()
	if w == nil {
		return InFlightReport{}, errors.New("the peer sent an empty reply")
	}
	return InFlightReport{Entry: peer, InFlight: int(w.GetInFlight()), AcceptsNew: w.GetOpen(), Revision: w.GetRevision()}, nil
}

// FetchDump requests the state of a peer as JSON.
func (m *Mesh) FetchDump(ctx context.Context, peer string) ([]byte, error) {
	reply, err := m.request(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_DumpRequest{DumpRequest: &peerpb.DumpRequest{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetDump().GetJson(), nil
}

// pullIfBehind fetches the records that this entry lacks when the peer has a higher revision. It asks each peer at
// most once per pullInterval.
func (m *Mesh) pullIfBehind(peer string, revision uint64) {
	own := m.Records.CompleteRevision()
	if revision <= own {
		return
	}
	m.mu.Lock()
	now := m.Now()
	due := now.Sub(m.pulledAt[peer]) >= pullInterval
	if due {
		m.pulledAt[peer] = now
	}
	m.mu.Unlock()
	if due {
		go m.pull(peer, own)
	}
}

func (m *Mesh) pull(peer string, above uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	reply, err := m.request(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_RecordsRequest{RecordsRequest: &peerpb.RecordsRequest{Above: above}}})
	if err != nil || reply.GetRecords() == nil {
		return
	}
	m.receiveRecords(reply.GetRecords())
}
