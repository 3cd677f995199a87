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

// Ticket is one request that runs under a claim.
type Ticket struct {
	Key       string // of the row
	Row       claimrow.Row
	Machine   claim.Machine
	Retention time.Duration

	done chan struct{} // closed when the request has ended at this entry
	kept *answer.Answer
}

// Result is what came of asking for a claim: exactly one of Granted, Answer and Code is set.
type Result struct {
	Granted bool
	Answer  *answer.Answer // of an earlier send
	Code    code.Code
	Run     code.Run
}

// NewTicket returns a ticket for a key of a caller (who may be unknown) at a service.
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

func refused(number code.Code, run code.Run) Result {
	return Result{Code: number, Run: run}
}

// Stage returns how far the request has come.
func (t *Ticket) Stage() claim.Stage {
	return t.Machine.Stage()
}
