// Package logsink writes log lines without ever holding up the part that logs.
package logsink
