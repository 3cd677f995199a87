// Command poplar-standin stands in for the platform and for targets, in tests and examples.
package main
