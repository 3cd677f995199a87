// Package tally counts what came of offered load, by class and by slices of time.
package tally
