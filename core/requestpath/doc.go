// Package requestpath brings paths of requests and prefixes of rules into the form in which they are compared.
package requestpath
