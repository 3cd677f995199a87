// Package caller accepts the connections of callers.
package caller
