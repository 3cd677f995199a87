// Package rule describes which requests go to which service, and what may be done with them.
package rule
