// Package tlsfiles builds TLS configurations from files and reloads the files when they are replaced.
package tlsfiles
