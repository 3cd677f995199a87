// Package prober probes targets for their load, within the probe budget.
package prober
