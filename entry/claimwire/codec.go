package claimwire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
	"poplarworks/entry/peerpb"
)

// Codec encodes and decodes claims and answers.
type Codec struct{}

// Marshal encodes the row of a claim.
func (Codec) Marshal(row claimrow.Row) ([]byte, error) {
	return proto.Marshal(&peerpb.Claim{
		Entry:         row.Entry,
		Incarnation:   row.Incarnation,
		Nonce:         row.Nonce,
		Fingerprint:   row.Fingerprint,
		State:         string(row.State),
		CreatedUnixMs: row.Created.UnixMilli(),
		ExpiresUnixMs: row.Expires.UnixMilli(),
		Kept:          AnswerToWire(row.Answer),
		Object:        row.ObjectName,
	})
}

// Unmarshal decodes the row of a claim. It fails if the state is unknown, such as one of a newer version.
func (Codec) Unmarshal(data []byte) (claimrow.Row, error) {
	wire := &peerpb.Claim{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return claimrow.Row{}, err
	}
	state := claimrow.State(wire.GetState())
	switch state {
	case claimrow.Claimed, claimrow.Done, claimrow.Released:
	default:
		return claimrow.Row{}, errors.Newf("claim has unknown state %q", state)
	}
	return claimrow.Row{
		Entry:       wire.GetEntry(),
		Incarnation: wire.GetIncarnation(),
		Nonce:       wire.GetNonce(),
		Fingerprint: wire.GetFingerprint(),
		State:       state,
		Created:     time.UnixMilli(wire.GetCreatedUnixMs()),
		Expires:     time.UnixMilli(wire.GetExpiresUnixMs()),
		Answer:      AnswerFromWire(wire.GetKept()),
		ObjectName:  wire.GetObject(),
	}, nil
}

// MarshalAnswer encodes an answer.
func (Codec) MarshalAnswer(ans *answer.Answer) ([]byte, error) {
	return proto.Marshal(AnswerToWire(ans))
}

// UnmarshalAnswer decodes an answer.
func (Codec) UnmarshalAnswer(data []byte) (*answer.Answer, error) {
	wire := &peerpb.Kept{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, err
	}
	return AnswerFromWire(wire), nil
}

// AnswerToWire converts an answer to its message. It returns nil for nil.
func AnswerToWire(ans *answer.Answer) *peerpb.Kept {
	if ans == nil {
		return nil
	}
	wire := &peerpb.Kept{Status: uint32(ans.Status), Body: ans.Body}
	for _, f := range ans.Fields {
		wire.Fields = append(wire.Fields, &peerpb.Field{Name: f.Name, Value: f.Value})
	}
	return wire
}

// AnswerFromWire converts a message to its answer. It returns nil for nil.
func AnswerFromWire(wire *peerpb.Kept) *answer.Answer {
	if wire == nil {
		return nil
	}
	ans := &answer.Answer{Status: int(wire.GetStatus()), Body: wire.GetBody()}
	for _, f := range wire.GetFields() {
		ans.Fields = append(ans.Fields, answer.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return ans
}
