// Package loadgen offers load at a rate of its own, however slowly the answers come.
package loadgen
