// Package quantile estimates a quantile of a stream of durations in constant memory.
package quantile
