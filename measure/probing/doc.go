// Package probing compares the number of probes that targets receive with their budget.
package probing
