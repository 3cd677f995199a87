// Package fault injects delays, outages and lost responses into an HTTP handler.
package fault
