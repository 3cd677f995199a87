// Package backend stands in for a target on the users' platform.
package backend
