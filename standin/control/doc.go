// Package control lets a test switch the faults of targets and read what they ran.
package control
