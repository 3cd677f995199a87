package buffers

// maxAllocatedAtOnce bounds what is allocated because of an announced size alone, in bytes.
const maxAllocatedAtOnce = 64 << 10

// Buffer holds bytes whose memory counts toward a quota. Its exported fields must be set before use.
type Buffer struct {
	Quota     *Quota
	Headroom  int64 // bytes of the quota that must stay free
	Max       int   // bytes
	Announced int64 // expected size in bytes, or -1 if unknown

	data []byte
}

// Append adds the data if it fits into the buffer and the quota, and reports whether it did.
func (b *Buffer) Append(data []byte) bool {
	needed := len(b.data) + len(data)
	if needed > b.Max {
		return false
	}
	if needed > cap(b.data) && !b.grow(needed) {
		return false
	}
	b.data = append(b.data, data...)
	return true
}

// grow reserves the new memory before it releases the old one, since both exist during the copy.
func (b *Buffer) grow(needed int) bool {
	capacity := max(needed, min(2*cap(b.data), b.Max))
	if b.Announced > int64(needed) && b.Announced <= int64(min(b.Max, maxAllocatedAtOnce)) {
		capacity = int(b.Announced)
	}
	if !b.Quota.ReserveWithHeadroom(int64(capacity), b.Headroom) {
		return false
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.Quota.Release(int64(cap(b.data)))
	b.data = grown
	return true
}

// Bytes returns the content, which is valid until Release.
func (b *Buffer) Bytes() []byte {
	return b.data
}

// Detach empties the buffer and returns its content, and the bytes that stay reserved for it until the caller releases
// them from the quota.
func (b *Buffer) Detach() (data []byte, reserved int64) {
	data, reserved = b.data, int64(cap(b.data))
	b.data = nil
	return data, reserved
}

// Release empties the buffer and releases its memory from the quota.
func (b *Buffer) Release() {
	b.Quota.Release(int64(cap(b.data)))
	b.data = nil
}
