// Package rank orders the entries of a data centre by rendezvous hashing, so that all of them agree on which ones
// read the store on behalf of the others.
package rank
