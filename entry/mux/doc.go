// Package mux holds what the connections between entries have in common, which carry streams by yamux.
package mux
