package news

import "time"

const (
	writeTimeout = time.Second // news that cannot be written in this time would be stale on arrival
	maxMessage   = 16 << 20    // bytes
)
