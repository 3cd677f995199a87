// Package outcome describes how an attempt at a target ended.
package outcome
