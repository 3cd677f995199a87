// Package chaos runs random callers, operators and faults against a fleet, and checks the results against the
// guarantees of the balancer.
package chaos
