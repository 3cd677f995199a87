// Package snapshot describes the state of a balancer at one moment, so that operators can see why it decides as it does.
package snapshot
