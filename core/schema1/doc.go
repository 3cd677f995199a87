// Package schema1 decodes records of schema 1: flat fields, milliseconds as numbers, targets as text.
package schema1
