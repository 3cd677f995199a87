package news

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	writeTimeout = time.Second // news that cannot be written in this time would be stale on arrival
	maxMessage   = 16 << 20    // bytes
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // the news themselves show that the connection lives
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
