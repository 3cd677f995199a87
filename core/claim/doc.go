// Package claim decides who may run a request that must run at most once.
package claim
