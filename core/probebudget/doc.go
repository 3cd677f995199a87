// Package probebudget is the only way to send a probe; it keeps each entry within its share at each target.
package probebudget
