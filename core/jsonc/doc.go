// Package jsonc reads settings and records written in JSON with comments, and reports every problem with its file, line and field.
package jsonc
