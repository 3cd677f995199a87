// Package crashwire converts crash records to and from the messages between entries.
package crashwire
