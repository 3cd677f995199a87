package mux

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Config returns the settings of a connection on which what is sent shows that it lives, so that it needs no keep-alives.
func Config(writeTimeout time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
