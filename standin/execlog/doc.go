// Package execlog remembers what the targets ran, so that tests can check promises against it.
package execlog
