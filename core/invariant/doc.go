// Package invariant checks invariants in the running program.
package invariant
