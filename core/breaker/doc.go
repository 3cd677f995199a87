// Package breaker implements a circuit breaker: calls to a service that is down fail at once, and single trial calls
// detect when it is back.
package breaker
