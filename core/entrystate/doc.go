// Package entrystate is the state machine of this entry, from its start to its planned stop.
package entrystate
