// Package news describes what one entry tells another of the platform's store.
package news
