// Package outcome says how an attempt at a target ended.
package outcome
