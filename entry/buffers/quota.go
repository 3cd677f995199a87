package buffers

import "sync/atomic"

// Quota counts the bytes of buffered bodies. It is safe for concurrent use.
type Quota struct {
	Max int64 // bytes

	reserved atomic.Int64
}

// Take reserves bytes if they fit into the quota, and reports whether it did.
func (q *Quota) Take(bytes int64) bool {
	if q.reserved.Add(bytes) > q.Max {
		q.reserved.Add(-bytes)
		return false
	}
	return true
}

// Give releases reserved bytes.
func (q *Quota) Give(bytes int64) {
	q.reserved.Add(-bytes)
}

// Held returns the number of reserved bytes.
func (q *Quota) Held() int64 {
	return q.reserved.Load()
}
