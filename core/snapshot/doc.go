// Package snapshot shows the state of a balancer, to explain its decisions.
package snapshot
