// Package proc starts, signals and measures a process of an experiment.
package proc
