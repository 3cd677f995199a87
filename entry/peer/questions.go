package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
	"poplarworks/entry/claimwire"
	"poplarworks/entry/peerpb"
)

// Work is what an entry says of the work in flight at a target or at itself.
type Work struct {
	Entry    string
	InFlight int
	Open     bool // new work may still begin
	Revision uint64
}

func (m *Mesh) link(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

func (m *Mesh) ask(ctx context.Context, peer string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	l := m.link(peer)
	if l == nil {
		return nil, errNoLink
	}
	return l.ask(ctx, e)
}

// AskAnswer asks the holder of a claim for its answer, and waits for it; known is false when the holder cannot tell.
func (m *Mesh) AskAnswer(ctx context.Context, row claimrow.Row, key string) (kept *answer.Answer, known bool) {
	reply, err := m.ask(ctx, row.Entry, &peerpb.Envelope{Body: &peerpb.Envelope_AnswerRequest{AnswerRequest: &peerpb.AnswerRequest{
		Claim:       key,
		Incarnation: row.Incarnation,
		Nonce:       row.Nonce,
	}}})
	if err != nil {
		return nil, false
	}
	return claimwire.KeptFromWire(reply.GetAnswer().GetKept()), reply.GetAnswer().GetKnown()
}

// AskWork asks a peer for its work in flight at a target, or at the peer itself when the target is empty.
func (m *Mesh) AskWork(ctx context.Context, peer, service, target string) (Work, error) {
	reply, err := m.ask(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_WorkRequest{WorkRequest: &peerpb.WorkRequest{
		Service: service,
		Target:  target,
	}}})
	if err != nil {
		return Work{}, err
	}
	w := reply.GetWork()
	if w == nil {
		return Work{}, errors.New("the peer gave no answer")
	}
	return Work{Entry: peer, InFlight: int(w.GetInFlight()), Open: w.GetOpen(), Revision: w.GetRevision()}, nil
}

// AskDump asks a peer for its state, as JSON.
func (m *Mesh) AskDump(ctx context.Context, peer string) ([]byte, error) {
	reply, err := m.ask(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_DumpRequest{DumpRequest: &peerpb.DumpRequest{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetDump().GetJson(), nil
}

// pullIfBehind asks a peer for the records that are missing here, at most once in an interval for each peer.
func (m *Mesh) pullIfBehind(peer string, revision uint64) {
	own := m.Records.Complete()
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
	reply, err := m.ask(ctx, peer, &peerpb.Envelope{Body: &peerpb.Envelope_RecordsRequest{RecordsRequest: &peerpb.RecordsRequest{Above: above}}})
	if err != nil || reply.GetRecords() == nil {
		return
	}
	m.receiveRecords(reply.GetRecords())
}
