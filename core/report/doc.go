// Package report describes what a target says of its own load.
package report
