// Package crashes keeps the quarantine of requests that crash targets, and shares the crashes with the entry's
// peers.
package crashes
