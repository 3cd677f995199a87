package buffers

import "sync/atomic"

// Quota counts bytes that are held; it is safe for concurrent use.
type Quota struct {
	Max int64 // bytes

	held atomic.Int64
}

// Take reserves bytes, and reports whether there were that many left.
func (q *Quota) Take(bytes int64) bool {
	if q.held.Add(bytes) > q.Max {
		q.held.Add(-bytes)
		return false
	}
	return true
}

// Give returns bytes.
func (q *Quota) Give(bytes int64) {
	q.held.Add(-bytes)
}

// Held returns the bytes reserved.
func (q *Quota) Held() int64 {
	return q.held.Load()
}
