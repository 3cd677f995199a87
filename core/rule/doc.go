// Package rule describes which requests go to which service, and how they may be retried, hedged and limited.
package rule
