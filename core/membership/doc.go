// Package membership follows which entries live, from the platform's list of VMs and their own heartbeats.
package membership
