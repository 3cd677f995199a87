// Command poplar-standin simulates the platform and targets for tests and examples.
package main
