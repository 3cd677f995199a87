// Package schema2 decodes records of schema 2, the current one.
package schema2
