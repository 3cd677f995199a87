// Package objects speaks to the platform's object store.
package objects
