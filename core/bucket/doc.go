// Package bucket limits the rate of events by a token bucket.
package bucket
