// Package claimrow describes the stored row of a claim and decides what it means for a request with the same key.
package claimrow
