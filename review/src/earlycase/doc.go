// Command earlycase sends long uploads to servers that answer before they have read all of the body, and compares what
// the servers read with what the clients sent.
package main
