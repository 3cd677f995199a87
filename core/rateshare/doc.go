// Package rateshare divides the request rate that a target accepts among the entries, without messages between them.
package rateshare
