// Package peer connects the entries of a region. They exchange heartbeats, records, leaving targets, crashes and load
// digests.
package peer
