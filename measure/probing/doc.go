// Package probing counts the probes that targets see, against their budget.
package probing
