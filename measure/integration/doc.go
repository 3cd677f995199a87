// Package integration holds the tests that start real processes. Each test is a sequence of setup, actions and
// expectations.
package integration
