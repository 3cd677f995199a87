// Package pause waits for a time, or until that is no longer wanted.
package pause
