// Package store calls the table service within a rate budget. While the service is down, a circuit breaker
// fails calls at once.
package store
