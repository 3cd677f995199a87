// Package objects keeps named byte strings in memory, as the platform's object store does.
package objects
