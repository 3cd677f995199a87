// Package health follows the state of this entry and answers the platform's balancer.
package health
