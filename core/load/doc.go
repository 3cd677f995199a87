// Package load estimates the number of requests in flight at a target, from the requests of this entry and from load
// reports that may be stale.
package load
