// Package backend simulates a target on the users' platform.
package backend
