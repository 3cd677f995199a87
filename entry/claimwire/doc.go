// Package claimwire maps claims and kept answers to the form in which they are stored and sent.
package claimwire
