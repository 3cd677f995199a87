// Package exposition serves counters and histograms as text.
package exposition
