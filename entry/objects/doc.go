// Package objects is a client of the platform's object store.
package objects
