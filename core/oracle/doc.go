// Package oracle picks by the true load of the targets, which only a measurement can know.
package oracle
