// Package membership tracks which entries are alive, from the platform's list of VMs and the heartbeats of the entries.
package membership
