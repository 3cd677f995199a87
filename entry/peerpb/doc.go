// Package peerpb holds the generated wire types of peer.proto.
package peerpb
