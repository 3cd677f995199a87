// Package rowstore simulates the part of the store of the users' platform that the project uses.
package rowstore
