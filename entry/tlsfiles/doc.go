// Package tlsfiles makes TLS configurations from files that are read again when they are replaced.
package tlsfiles
