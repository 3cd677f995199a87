// Package claims writes the claims that make each request run at most once, and stores the answers of these requests.
package claims
