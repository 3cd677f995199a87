// Command poplarctl is the command line that operators use to manage an entry and its records.
package main
