// Package buffers limits the total memory of buffered requests and answers.
package buffers
