package buffers

import (
	"bytes"
	"testing"
)

// Guards against memory of a growing buffer that its quota doesn't count.
func TestBufferReservesWhatItAllocates(t *testing.T) {
	scenarios := []struct {
		name      string
		quota     int64
		headroom  int64
		max       int
		announced int64
		appends   []int // bytes
		want      int   // bytes that fit
		reserved  int64 // bytes
	}{
		{"nothing", 100, 0, 100, -1, []int{0}, 0, 0},
		{"an announced size is allocated once", 100, 0, 100, 50, []int{10, 10, 30}, 50, 50},
		{"more than announced", 100, 0, 100, 20, []int{10, 15}, 25, 40},
		{"an announced size beyond the maximum is ignored", 100, 0, 40, 50, []int{10, 10}, 20, 20},
		{"an announced size is not allocated in advance if it is large", 1 << 20, 0, 1 << 20, 1 << 20, []int{10}, 10, 10},
		{"doubled up to the maximum", 100, 0, 30, -1, []int{10, 10, 1}, 21, 30},
		{"beyond the maximum", 100, 0, 30, -1, []int{20, 20, 10}, 30, 30},
		{"beyond the quota", 60, 0, 100, -1, []int{40, 10}, 40, 40},
		{"during growth both sizes count", 100, 0, 100, -1, []int{40, 30}, 40, 40},
		{"within the headroom", 60, 30, 100, -1, []int{20, 20}, 20, 20},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			quota := &Quota{Max: s.quota}
			b := &Buffer{Quota: quota, Headroom: s.headroom, Max: s.max, Announced: s.announced}
			var want []byte
			for i, size := range s.appends {
				data := bytes.Repeat([]byte{byte(i)}, size)
				if b.Append(data) {
					want = append(want, data...)
				}
			}
			if got := b.Bytes(); !bytes.Equal(got, want) || len(got) != s.want {
				t.Errorf("got %d bytes, want %d", len(got), s.want)
			}
			if got := quota.Reserved(); got != s.reserved || got < int64(cap(b.data)) {
				t.Errorf("got %d bytes reserved for %d, want %d", got, cap(b.data), s.reserved)
			}
			b.Release()
			if got := quota.Reserved(); got != 0 || b.Bytes() != nil {
				t.Errorf("got %d bytes reserved after the release, want none", got)
			}
		})
	}
}
