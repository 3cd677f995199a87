package claims

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"poplarworks/core/answer"
	"poplarworks/core/claim"
	"poplarworks/core/claimrow"
	"poplarworks/core/code"
	"poplarworks/core/invariant"
)

// Ticket holds the state of one request that runs under a claim.
type Ticket struct {
	Key       string // key of the claim's row
	Row       claimrow.Row
	Machine   claim.Machine
	Retention time.Duration

	done chan struct{} // closed when the request has finished on this entry
	ans  *answer.Answer
}

// Result is the outcome of Keeper.Claim or Keeper.Lookup. Claim sets exactly one of Granted, Answer and Code. Lookup
// sets none of them if it found no outcome of an earlier send; Execution then says whether one may have run.
type Result struct {
	Granted   bool
	Answer    *answer.Answer // answer to an earlier send of the request
	Code      code.Code
	Execution code.Execution
}

// NewTicket returns a ticket for the idempotency key that a caller uses at a service; caller is empty if it is unknown.
func NewTicket(service, caller, key string, fingerprint []byte, retention time.Duration, check *invariant.Checker) *Ticket {
	hash := sha256.Sum256([]byte(service + "\x00" + caller + "\x00" + key))
	return &Ticket{
		Key:       claimPrefix + hex.EncodeToString(hash[:]),
		Row:       claimrow.Row{Nonce: rand.Text(), Fingerprint: fingerprint},
		Machine:   claim.Machine{Check: check},
		Retention: retention,
		done:      make(chan struct{}),
	}
}

func codeResult(resultCode code.Code, run code.Execution) Result {
	return Result{Code: resultCode, Execution: run}
}

// Stage returns the stage of the claim.
func (t *Ticket) Stage() claim.Stage {
	return t.Machine.Stage()
}
