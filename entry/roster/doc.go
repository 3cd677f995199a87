// Package roster enrols this entry in the platform's store and maintains the list of all entries of the fleet.
package roster
