// Package buffers bounds the memory that held requests and answers take together.
package buffers
