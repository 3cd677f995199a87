package main

import (
	"fmt"
	"os"

	"poplarworks/standin/app"
)

func main() {
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poplar-standin:", err)
		os.Exit(1)
	}
}
