// Package service describes a set of targets that serve the same requests, and the limits that protect them.
package service
