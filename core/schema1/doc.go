// Package schema1 decodes records of schema 1. It has flat fields, durations as numbers of milliseconds and targets as
// strings.
package schema1
