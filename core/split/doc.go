// Package split spreads the requests of a rule over several services by weight.
package split
