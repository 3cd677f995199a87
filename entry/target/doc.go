// Package target pools the connections to targets. Each connection carries one request at a time.
package target
