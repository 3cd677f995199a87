// Package client speaks to the operator API of an entry.
package client
