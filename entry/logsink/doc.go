// Package logsink writes log lines without blocking the code that logs.
package logsink
