// Package confighistory decides which of the configurations that the store returns is put in force.
package confighistory
