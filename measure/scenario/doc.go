// Package scenario holds the deployments of the brief as plans, and the shots that their callers send.
package scenario
