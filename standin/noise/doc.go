// Package noise gives the slowdown that a target suffers from its neighbours, as a function of time and a seed.
package noise
