// Package app is the command line of the experiments.
package app
