// Package claim is the state machine of a request that must run at most once. It enforces the order of the steps of
// claiming, sending and answering the request.
package claim
