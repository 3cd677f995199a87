package main

import (
	"fmt"
	"os"

	"poplarworks/entry/app"
)

func main() {
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poplar-entry:", err)
		os.Exit(1)
	}
}
