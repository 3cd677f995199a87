// Package health tracks the state of this entry and serves the health checks of the platform's balancer.
package health
