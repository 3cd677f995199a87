// Package decision says what becomes of a request.
package decision
