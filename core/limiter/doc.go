// Package limiter adapts the concurrency limit of one entry at one target: the number of requests it keeps in flight
// there.
package limiter
