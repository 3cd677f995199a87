// Package integration holds the tests with real processes; each reads as a script of set-up, action and expectation.
package integration
