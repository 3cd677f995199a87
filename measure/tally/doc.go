// Package tally counts the outcomes and latencies of requests by class and by time slice.
package tally
