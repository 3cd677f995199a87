// Package slopes measures how control traffic, CPU time, memory and delays grow with the size of the system.
package slopes
