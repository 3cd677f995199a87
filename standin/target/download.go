package target

import (
	"io"
	"time"
)

const downloadChunk = 16 << 10 // bytes

// download reads as a file of which each byte follows from its offset, at a steady rate.
type download struct {
	size   int64
	rate   int64 // bytes per second; zero for no limit
	offset int64
}

// Read returns the next bytes at the rate asked for.
func (d *download) Read(into []byte) (int, error) {
	if d.offset >= d.size {
		return 0, io.EOF
	}
	n := min(int64(len(into)), d.size-d.offset, downloadChunk)
	for i := range n {
		into[i] = ByteAt(d.offset + i)
	}
	d.offset += n
	if d.rate > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(d.rate))
	}
	return int(n), nil
}

// Seek moves to an offset.
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

// ByteAt returns the byte at an offset of every download.
func ByteAt(offset int64) byte {
	return byte(offset*31 + offset>>8)
}
