// Package notation turns the text of a record, of any schema, into its domain type.
package notation
