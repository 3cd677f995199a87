package target

import (
	"io"
	"time"
)

const maxReadBytes = 16 << 10

// download simulates a file in which each byte is a function of its offset. Reads are limited to a steady rate.
type download struct {
	size   int64
	rate   int64 // bytes per second; zero for no limit
	offset int64
}

// Read returns the next bytes and sleeps as long as they take at the rate.
func (d *download) Read(buffer []byte) (int, error) {
	if d.offset >= d.size {
		return 0, io.EOF
	}
	n := min(int64(len(buffer)), d.size-d.offset, maxReadBytes)
	for i := range n {
		buffer[i] = ByteAt(d.offset + i)
	}
	d.offset += n
	if d.rate > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(d.rate))
	}
	return int(n), nil
}

// Seek sets the offset of the next read.
func (d *download) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += d.offset
	case io.SeekEnd:
		offset += d.size
	}
	d.offset = offset
	return offset, nil
}

// ByteAt returns the byte at the offset, which is the same in every download.
func ByteAt(offset int64) byte {
	return byte(offset*31 + offset>>8)
}
