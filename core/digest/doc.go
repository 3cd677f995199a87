// Package digest is what entries tell each other of their requests in flight.
package digest
