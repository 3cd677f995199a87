// Package crest measures how many requests are served in time while the offered load rises above capacity and falls
// again.
package crest
