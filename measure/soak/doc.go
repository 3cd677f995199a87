// Package soak runs entries of the users' platform as processes, injects faults from outside them and checks every promise.
package soak
