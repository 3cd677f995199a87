package code

import "net/http"

// Code is the number of a result, stable across versions.
type Code int

// Run says whether a target may have run the request.
type Run string

// The three answers to the question whether the request ran.
const (
	NotRun  Run = "not-run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// The codes; docs/CODES.md says what a caller does about each.
const (
	OK                 Code = 0
	MalformedRequest   Code = 1001
	NoRule             Code = 1002
	HeadersTooLarge    Code = 1003
	BodyTooLarge       Code = 1004
	BodyTimeout        Code = 1005
	KeyMissing         Code = 1006
	KeyReused          Code = 1007
	KeyMalformed       Code = 1008
	TooManyConnections Code = 1009
	Overloaded         Code = 2001
	DeadlineTooShort   Code = 2002
	DeadlinePassed     Code = 2003
	NoTarget           Code = 2004
	Quarantined        Code = 2005
	Draining           Code = 2006
	NotReady           Code = 2007
	StoreUnavailable   Code = 3001
	ClaimUnknown       Code = 3002
	EarlierUnknown     Code = 3003
	AnswerNotKept      Code = 3004
	TargetBroke        Code = 4001
	TargetTimeout      Code = 4002
	TargetRefused      Code = 4003
	CallerGone         Code = 4004
	Unauthorised       Code = 5001
	BadRecord          Code = 5002
	RevisionConflict   Code = 5003
	NotFound           Code = 5004
	WriteUnknown       Code = 5005
)

// Entry describes one code.
type Entry struct {
	Code   Code
	Name   string
	Status int
	Text   string
}

// Table lists every code with its HTTP status, in order.
func Table() []Entry {
	return []Entry{
		{OK, "ok", http.StatusOK, "the target's own answer"},
		{MalformedRequest, "malformed-request", http.StatusBadRequest, "the request breaks the protocol"},
		{NoRule, "no-rule", http.StatusNotFound, "no rule matches the request"},
		{HeadersTooLarge, "headers-too-large", http.StatusRequestHeaderFieldsTooLarge, "the header fields exceed the limit"},
		{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, "the body exceeds the rule's limit"},
		{BodyTimeout, "body-timeout", http.StatusRequestTimeout, "the body did not arrive in time"},
		{KeyMissing, "key-missing", http.StatusBadRequest, "the rule asks for an idempotency key"},
		{KeyReused, "key-reused", http.StatusUnprocessableEntity, "the key belongs to another request"},
		{KeyMalformed, "key-malformed", http.StatusBadRequest, "the idempotency key is empty, too long or not printable"},
		{TooManyConnections, "too-many-connections", http.StatusServiceUnavailable, "the entry holds as many connections as its settings allow"},
		{Overloaded, "overloaded", http.StatusServiceUnavailable, "the request cannot be served in time"},
		{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, "the deadline leaves less time than the service needs"},
		{DeadlinePassed, "deadline-passed", http.StatusGatewayTimeout, "the deadline passed while the request waited"},
		{NoTarget, "no-target", http.StatusServiceUnavailable, "no target takes new work"},
		{Quarantined, "quarantined", http.StatusServiceUnavailable, "the same request has crashed targets"},
		{Draining, "draining", http.StatusServiceUnavailable, "this entry is stopping"},
		{NotReady, "not-ready", http.StatusServiceUnavailable, "this entry has no records yet"},
		{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, "the claim could not be written, and nothing was sent"},
		{ClaimUnknown, "claim-unknown", http.StatusServiceUnavailable, "the claim's outcome is not known, and nothing was sent"},
		{EarlierUnknown, "earlier-unknown", http.StatusConflict, "an earlier send of this key may have run"},
		{AnswerNotKept, "answer-not-kept", http.StatusConflict, "this key ran, and its answer was not kept"},
		{TargetBroke, "target-broke", http.StatusBadGateway, "the target's connection ended before its answer"},
		{TargetTimeout, "target-timeout", http.StatusGatewayTimeout, "the target did not answer within the deadline"},
		{TargetRefused, "target-refused", http.StatusServiceUnavailable, "every target tried said that it did not run the request"},
		{CallerGone, "caller-gone", 499, "the caller left before the answer"},
		{Unauthorised, "unauthorised", http.StatusUnauthorized, "the operator's token is missing or wrong"},
		{BadRecord, "bad-record", http.StatusBadRequest, "the record is not valid"},
		{RevisionConflict, "revision-conflict", http.StatusConflict, "another write came first"},
		{NotFound, "not-found", http.StatusNotFound, "there is no such record or page"},
		{WriteUnknown, "write-unknown", http.StatusServiceUnavailable, "the write's outcome could not be settled"},
	}
}

// Entry returns the description of the code.
func (c Code) Entry() Entry {
	for _, e := range Table() {
		if e.Code == c {
			return e
		}
	}
	return Entry{Code: c, Name: "unnamed", Status: http.StatusInternalServerError}
}
