// Package entrylist holds the list of entries that have enrolled at the platform's store.
package entrylist
