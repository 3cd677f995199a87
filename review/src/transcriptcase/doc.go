// Command transcriptcase downloads recorded HTTP traffic while some servers turn slow, and compares every complete
// answer with the server's body.
package main
