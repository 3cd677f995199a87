// Command poplarctl is the operators' command line.
package main
