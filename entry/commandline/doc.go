// Package commandline is what the command lines of both compositions of the entry have in common.
package commandline
