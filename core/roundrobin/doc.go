// Package roundrobin picks the targets in turn. It is a baseline for measurements.
package roundrobin
