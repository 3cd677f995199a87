// Package roundrobin picks the targets in turn; it is a baseline for measurements.
package roundrobin
