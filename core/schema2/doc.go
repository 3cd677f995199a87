// Package schema2 decodes records of schema 2, the current schema.
package schema2
