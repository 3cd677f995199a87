// Package control serves an HTTP API through which tests set the faults of targets and read which requests the targets
// ran.
package control
