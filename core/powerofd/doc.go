// Package powerofd implements the power of d choices: it picks the target with the lowest cost among a few drawn at
// random.
package powerofd
