package mux

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

// Config returns the settings of a yamux session. Keep-alives are disabled, since the regular messages on a session show
// that its connection is alive.
func Config(writeTimeout time.Duration) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.LogOutput = io.Discard
	return config
}
