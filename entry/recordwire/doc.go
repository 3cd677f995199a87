// Package recordwire converts records to and from the form in which they are stored and sent.
package recordwire
