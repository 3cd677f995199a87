package claimrow

import (
	"bytes"
	"time"

	"poplarworks/core/answer"
)

// State is the state of the claim that a row stores.
type State string

// The states of a row.
const (
	Claimed  State = "claimed"  // the holder may have sent the request to a target
	Done     State = "done"     // the request ran; its answer may have been kept
	Released State = "released" // the request did not run, and another claim may replace this one
)

// Row is the stored row of one idempotency key. Expiry never leads to a second run of the request, since only the
// holder of the claim can release it.
type Row struct {
	Entry       string // name of the entry that holds the claim
	Incarnation uint64 // incarnation of that entry
	Nonce       string // identifies the request that wrote the row
	Fingerprint []byte // fingerprint of the request; requests with the same key must have the same one
	State       State
	Created     time.Time
	Expires     time.Time // when the row may be deleted
	Answer      *answer.Answer
	ObjectName  string // name of the answer in the object store; empty if it is not there
}

// Verdict is what a row means for a request with the same key.
type Verdict string

// The verdicts on a row.
const (
	OwnClaim   Verdict = "mine"   // the request itself holds the claim
	Reclaim    Verdict = "retake" // the claim was released and may be replaced
	Replay     Verdict = "replay" // the answer is in the row
	Fetch      Verdict = "fetch"  // the answer is in the object store
	AskHolder  Verdict = "ask"    // the holder may still receive the answer, so it has to be asked
	KeyReused  Verdict = "reused" // the key belongs to another request
	AnswerLost Verdict = "lost"   // the request ran, and its answer was not kept
)

// Evaluate returns what the row means for a request with the fingerprint and nonce. A row in an unknown state, written
// by a newer version, counts as claimed.
func Evaluate(row Row, fingerprint []byte, nonce string) Verdict {
	if row.Nonce == nonce {
		return OwnClaim
	}
	if !bytes.Equal(row.Fingerprint, fingerprint) {
		return KeyReused
	}
	switch row.State {
	case Released:
		return Reclaim
	case Done:
		return doneVerdict(row)
	case Claimed:
		return AskHolder
	}
	return AskHolder
}

func doneVerdict(row Row) Verdict {
	switch {
	case row.Answer != nil:
		return Replay
	case row.ObjectName != "":
		return Fetch
	default:
		return AnswerLost
	}
}
