package claimwire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"poplarworks/core/answer"
	"poplarworks/core/claimrow"
	"poplarworks/entry/peerpb"
)

// Codec maps claims by hand.
type Codec struct{}

// Marshal returns the bytes of a row.
func (Codec) Marshal(row claimrow.Row) ([]byte, error) {
	return proto.Marshal(&peerpb.Claim{
		Entry:         row.Entry,
		Incarnation:   row.Incarnation,
		Nonce:         row.Nonce,
		Fingerprint:   row.Fingerprint,
		State:         string(row.State),
		CreatedUnixMs: row.Created.UnixMilli(),
		ExpiresUnixMs: row.Expires.UnixMilli(),
		Kept:          KeptToWire(row.Answer),
		Object:        row.Object,
	})
}

// Unmarshal reads the bytes of a row.
func (Codec) Unmarshal(data []byte) (claimrow.Row, error) {
	wire := &peerpb.Claim{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return claimrow.Row{}, err
	}
	state := claimrow.State(wire.GetState())
	switch state {
	case claimrow.Claimed, claimrow.Done, claimrow.Released:
	default:
		return claimrow.Row{}, errors.Newf("claim of unknown state %q", state)
	}
	return claimrow.Row{
		Entry:       wire.GetEntry(),
		Incarnation: wire.GetIncarnation(),
		Nonce:       wire.GetNonce(),
		Fingerprint: wire.GetFingerprint(),
		State:       state,
		Created:     time.UnixMilli(wire.GetCreatedUnixMs()),
		Expires:     time.UnixMilli(wire.GetExpiresUnixMs()),
		Answer:      KeptFromWire(wire.GetKept()),
		Object:      wire.GetObject(),
	}, nil
}

// MarshalAnswer returns the bytes of an answer.
func (Codec) MarshalAnswer(kept *answer.Answer) ([]byte, error) {
	return proto.Marshal(KeptToWire(kept))
}

// UnmarshalAnswer reads the bytes of an answer.
func (Codec) UnmarshalAnswer(data []byte) (*answer.Answer, error) {
	wire := &peerpb.Kept{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, err
	}
	return KeptFromWire(wire), nil
}

// KeptToWire maps an answer, or nil.
func KeptToWire(kept *answer.Answer) *peerpb.Kept {
	if kept == nil {
		return nil
	}
	wire := &peerpb.Kept{Status: uint32(kept.Status), Body: kept.Body}
	for _, f := range kept.Fields {
		wire.Fields = append(wire.Fields, &peerpb.Field{Name: f.Name, Value: f.Value})
	}
	return wire
}

// KeptFromWire maps a message, or nil.
func KeptFromWire(wire *peerpb.Kept) *answer.Answer {
	if wire == nil {
		return nil
	}
	kept := &answer.Answer{Status: int(wire.GetStatus()), Body: wire.GetBody()}
	for _, f := range wire.GetFields() {
		kept.Fields = append(kept.Fields, answer.Field{Name: f.GetName(), Value: f.GetValue()})
	}
	return kept
}
