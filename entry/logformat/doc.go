// Package logformat writes log lines: time, level, prefix of the part, a short sentence, and fields.
package logformat
