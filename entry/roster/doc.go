// Package roster enrols this entry in the platform's store and knows the other entries.
package roster
