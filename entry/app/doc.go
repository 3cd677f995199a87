// Package app wires the parts of an entry together and runs them.
package app
