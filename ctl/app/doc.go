// Package app implements the command line of poplarctl, with one file for each group of commands.
package app
