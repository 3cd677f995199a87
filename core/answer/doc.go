// Package answer holds a complete answer of a target, so that it can be replayed.
package answer
