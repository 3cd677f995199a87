// Package report prints the tables of experiments and checks their figures against bounds.
package report
