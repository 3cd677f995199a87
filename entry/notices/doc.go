// Package notices broadcasts to all entries of the fleet, by datagram, that a request has crashed a target.
package notices
