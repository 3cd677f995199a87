package replication

import "time"

const (
	writeTimeout    = time.Second // An update that takes longer to write would be stale on arrival.
	maxMessageBytes = 16 << 20
)
