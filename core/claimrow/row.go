package claimrow

import (
	"bytes"
	"time"

	"poplarworks/core/answer"
)

// State is what a claim's row says.
type State string

// The states of a row.
const (
	Claimed  State = "claimed"  // the holder may have sent the request to a target
	Done     State = "done"     // the request ran, and its answer may be kept
	Released State = "released" // the request did not run, and another claim may replace this one
)

// Row is the row of one key; it never expires into a second run, since only its holder can release it.
type Row struct {
	Entry       string
	Incarnation uint64
	Nonce       string
	Fingerprint []byte
	State       State
	Created     time.Time
	Expires     time.Time // when the row may be deleted
	Answer      *answer.Answer
	Object      string // name of the object that holds the answer
}

// Verdict is what a row means to a request that has the same key.
type Verdict string

// The verdicts.
const (
	Mine   Verdict = "mine"   // this very request holds the claim
	Retake Verdict = "retake" // the claim was released and may be replaced
	Replay Verdict = "replay" // the answer is in the row
	Fetch  Verdict = "fetch"  // the answer is in the object store
	Ask    Verdict = "ask"    // the holder may still get the answer
	Reused Verdict = "reused" // the key belongs to another request
	Lost   Verdict = "lost"   // the request ran, and its answer was not kept
)

// Judge reads a row on behalf of a request with the fingerprint and nonce.
func Judge(row Row, fingerprint []byte, nonce string) Verdict {
	if row.Nonce == nonce {
		return Mine
	}
	if !bytes.Equal(row.Fingerprint, fingerprint) {
		return Reused
	}
	switch row.State {
	case Released:
		return Retake
	case Done:
		return judgeDone(row)
	case Claimed:
		return Ask
	}
	return Ask
}

func judgeDone(row Row) Verdict {
	switch {
	case row.Answer != nil:
		return Replay
	case row.Object != "":
		return Fetch
	default:
		return Lost
	}
}
