// Package bench sets up the fleet of an experiment on the Registry's status reading.
package bench
