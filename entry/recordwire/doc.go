// Package recordwire maps records to the form in which they are stored and sent.
package recordwire
