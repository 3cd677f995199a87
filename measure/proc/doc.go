// Package proc runs one process of an experiment.
package proc
