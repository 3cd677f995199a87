// Package rank orders the entries of a data centre by rendezvous hashing, so that all agree who reads for the others.
package rank
