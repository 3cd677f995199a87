// Package rowstore stands in for the users' platform's store, as far as the project uses it.
package rowstore
