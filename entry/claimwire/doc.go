// Package claimwire converts claims and stored answers to and from the form in which they are stored and sent.
package claimwire
