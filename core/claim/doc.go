// Package claim holds a request that must run at most once to the order of its steps.
package claim
