// Package caller accepts the connections of callers, up to a limit, and serves HTTP on them.
package caller
