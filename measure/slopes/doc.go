// Package slopes measures how traffic, processor time, memory and delay grow with the size of the system.
package slopes
