// Package storeversion orders the versions of a store that may be restored from a copy.
package storeversion
