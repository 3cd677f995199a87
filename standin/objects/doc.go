// Package objects is an in-memory object store that simulates the one of the platform.
package objects
