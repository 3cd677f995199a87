// Package pause provides waits that end early when a context ends or a condition holds.
package pause
