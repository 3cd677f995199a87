// Package entrylist describes the list of entries that have registered at the platform's store.
package entrylist
