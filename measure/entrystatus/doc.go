// Package entrystatus holds the status that an entry reports about itself and its peers.
package entrystatus
