package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"runtime/debug"

	"poplarworks/measure/app"
)

// gcPercent keeps the collector of the load generator out of what it measures.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	log.SetOutput(io.Discard) // the HTTP client's notes on connections that faults have closed
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
