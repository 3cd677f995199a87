// Package split distributes the requests of a rule over several services by weight.
package split
