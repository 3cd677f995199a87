// Package app is the command line of the stand-ins.
package app
