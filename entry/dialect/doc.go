// Package dialect speaks the project's own header fields with callers and targets.
package dialect
