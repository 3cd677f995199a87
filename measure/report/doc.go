// Package report prints the tables of experiments and judges them against their bounds.
package report
