// Package app implements the command line of poplar-standin.
package app
