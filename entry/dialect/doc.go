// Package dialect reads and writes Poplar's own header fields in messages with callers and targets.
package dialect
