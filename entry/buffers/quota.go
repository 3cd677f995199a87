package buffers

import "sync/atomic"

// Quota counts the bytes of buffered bodies. It is safe for concurrent use.
type Quota struct {
	Max int64 // bytes

	reserved atomic.Int64
}

// Reserve reserves bytes if they fit into the quota, and reports whether it did.
func (q *Quota) Reserve(bytes int64) bool {
	return q.ReserveWithHeadroom(bytes, 0)
}

// ReserveWithHeadroom reserves bytes if the headroom, in bytes, remains free, and reports whether it did.
func (q *Quota) ReserveWithHeadroom(bytes, headroom int64) bool {
	if q.reserved.Add(bytes) > q.Max-headroom {
		q.reserved.Add(-bytes)
		return false
	}
	return true
}

// Release releases reserved bytes.
func (q *Quota) Release(bytes int64) {
	q.reserved.Add(-bytes)
}

// Reserved returns the number of reserved bytes.
func (q *Quota) Reserved() int64 {
	return q.reserved.Load()
}
