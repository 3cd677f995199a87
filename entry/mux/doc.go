// Package mux holds the common settings of the yamux sessions between entries.
package mux
