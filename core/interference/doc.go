// Package interference distinguishes a transient slowdown of a target, caused by noisy neighbours, from a lasting one.
package interference
