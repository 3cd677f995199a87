// Package interference tells a transient slowdown of a target, caused by noisy neighbours, from a lasting
// slowdown.
package interference
