// Package limiter adapts the number of requests that one entry keeps in flight at one target.
package limiter
