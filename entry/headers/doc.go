// Package headers reads and writes Poplar's own header fields in messages with callers and targets.
package headers
