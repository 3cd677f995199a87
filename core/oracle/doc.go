// Package oracle picks by the true load of the targets, which is known only in measurements.
package oracle
