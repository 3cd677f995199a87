// Package commandline implements the command line that the two variants of the entry share.
package commandline
