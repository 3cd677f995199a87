// Package client calls the operator API of an entry.
package client
