// Package recordformat decodes the text of a record, in any supported schema, and validates it.
package recordformat
