// Package crashes shares the quarantine of requests that crash targets among the parts of the entry and its peers.
package crashes
