package code

// Code is the number of a result. It is stable across versions.
type Code int

// Execution says whether a target may have run the request.
type Execution string

// The values of Execution.
const (
	NotRun  Execution = "not-run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// The result codes. docs/CODES.md describes how a caller should react to each.
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

// The HTTP statuses. They are defined here because the core does not import the HTTP library.
const (
	statusOK                  = 200
	statusBadRequest          = 400
	statusUnauthorized        = 401
	statusNotFound            = 404
	statusRequestTimeout      = 408
	statusConflict            = 409
	statusBodyTooLarge        = 413
	statusUnprocessableEntity = 422
	statusHeaderTooLarge      = 431
	statusCallerGone          = 499
	statusInternalServerError = 500
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
)

// Description is the description of one code.
type Description struct {
	Code   Code
	Name   string
	Status int
	Text   string
}

// Table returns the descriptions of all codes, in order of their numbers.
func Table() []Description {
	return []Description{
		{OK, "ok", statusOK, "the target's own answer"},
		{MalformedRequest, "malformed-request", statusBadRequest, "the request breaks the protocol"},
		{NoRule, "no-rule", statusNotFound, "no rule matches the request"},
		{HeadersTooLarge, "headers-too-large", statusHeaderTooLarge, "the header fields exceed the limit"},
		{BodyTooLarge, "body-too-large", statusBodyTooLarge, "the body exceeds the rule's limit"},
		{BodyTimeout, "body-timeout", statusRequestTimeout, "the body did not arrive in time"},
		{KeyMissing, "key-missing", statusBadRequest, "the rule asks for an idempotency key"},
		{KeyReused, "key-reused", statusUnprocessableEntity, "the key belongs to another request"},
		{KeyMalformed, "key-malformed", statusBadRequest, "the idempotency key is empty, too long or not printable"},
		{TooManyConnections, "too-many-connections", statusServiceUnavailable, "the entry holds as many connections as its settings allow"},
		{Overloaded, "overloaded", statusServiceUnavailable, "the request cannot be served in time"},
		{DeadlineTooShort, "deadline-too-short", statusServiceUnavailable, "the deadline leaves less time than the service needs"},
		{DeadlinePassed, "deadline-passed", statusGatewayTimeout, "the deadline passed while the request waited"},
		{NoTarget, "no-target", statusServiceUnavailable, "no target takes new work"},
		{Quarantined, "quarantined", statusServiceUnavailable, "the same request has crashed targets"},
		{Draining, "draining", statusServiceUnavailable, "this entry is stopping"},
		{NotReady, "not-ready", statusServiceUnavailable, "this entry has no records yet"},
		{StoreUnavailable, "store-unavailable", statusServiceUnavailable, "the claim could not be written, and nothing was sent"},
		{ClaimUnknown, "claim-unknown", statusServiceUnavailable, "the claim's outcome is not known, and nothing was sent"},
		{EarlierUnknown, "earlier-unknown", statusConflict, "an earlier send of this key may have run"},
		{AnswerNotKept, "answer-not-kept", statusConflict, "this key ran, and its answer was not kept"},
		{TargetBroke, "target-broke", statusBadGateway, "the target's connection ended before its answer"},
		{TargetTimeout, "target-timeout", statusGatewayTimeout, "the target did not answer within the deadline"},
		{TargetRefused, "target-refused", statusServiceUnavailable, "every target tried said that it did not run the request"},
		{CallerGone, "caller-gone", statusCallerGone, "the caller left before the answer"},
		{Unauthorised, "unauthorised", statusUnauthorized, "the operator's token is missing or wrong"},
		{BadRecord, "bad-record", statusBadRequest, "the record is not valid"},
		{RevisionConflict, "revision-conflict", statusConflict, "another write came first"},
		{NotFound, "not-found", statusNotFound, "there is no such record or page"},
		{WriteUnknown, "write-unknown", statusServiceUnavailable, "the write's outcome could not be settled"},
	}
}

// Description returns the description of the code. An unknown code is described as an internal server error.
func (c Code) Description() Description {
	for _, e := range Table() {
		if e.Code == c {
			return e
		}
	}
	return Description{Code: c, Name: "unnamed", Status: statusInternalServerError}
}
