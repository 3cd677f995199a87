// Package app is the command line: one file for each group of commands.
package app
