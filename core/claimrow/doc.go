// Package claimrow reads what the row of a claim means to a request with the same key.
package claimrow
