// Package logformat formats log lines: time, level, name of the part, a short sentence, and fields.
package logformat
