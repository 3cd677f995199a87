// Package soak runs entries for the users' platform as processes, injects faults from outside of them and checks
// every guarantee.
package soak
