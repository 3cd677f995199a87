package main

import (
	"os"

	"poplarworks/ctl/app"
)

func main() {
	os.Exit(app.Run(os.Args))
}
