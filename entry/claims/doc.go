// Package claims writes the claims that make requests run at most once, and keeps their answers.
package claims
