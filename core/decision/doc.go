// Package decision describes what the balancer decides about a request.
package decision
