// Package app defines the command line of the experiments.
package app
