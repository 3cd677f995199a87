package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"runtime/debug"

	"poplarworks/measure/app"
)

// gcPercent makes garbage collections of the load generator rare, so that they do not distort its measurements.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	log.SetOutput(io.Discard) // the HTTP client logs every connection that an injected fault has closed
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
