// Package leastoftwo picks two targets at random and takes the one with fewer requests in flight. It is a baseline for
// measurements.
package leastoftwo
