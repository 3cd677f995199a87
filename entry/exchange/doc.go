// Package exchange serves one request of a caller: it matches the rule, claims the idempotency key if there is one,
// sends the request to a target and returns the answer.
package exchange
