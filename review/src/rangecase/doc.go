// Command rangecase downloads from servers of which some turn slow, and compares every complete answer with the
// server's body.
package main
