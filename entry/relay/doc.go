// Package relay copies header fields between callers and targets by the rules for intermediaries of RFC 9110.
package relay
