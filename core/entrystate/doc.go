// Package entrystate is the state machine of an entry, from its start to its planned stop.
package entrystate
