// Package leastoftwo picks of two random targets the one with fewer requests in flight; it is a baseline for measurements.
package leastoftwo
