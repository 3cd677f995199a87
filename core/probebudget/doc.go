// Package probebudget keeps the probes of each entry within its share of the probe budget of each target. No probe may
// be sent without it.
package probebudget
