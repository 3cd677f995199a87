// Package jsonc reads settings and records written in JSON with comments. It reports every problem with its file, line
// and field.
package jsonc
