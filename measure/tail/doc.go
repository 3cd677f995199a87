// Package tail compares pickers by the tail latency of short lookups under noisy neighbours.
package tail
