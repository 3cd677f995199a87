// Package quantile follows a quantile of durations in constant memory.
package quantile
