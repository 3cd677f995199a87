package app

import (
	"context"

	"github.com/urfave/cli/v3"

	"poplarworks/measure/added"
	"poplarworks/measure/chaos"
	"poplarworks/measure/conformance"
	"poplarworks/measure/crest"
	"poplarworks/measure/doccheck"
	"poplarworks/measure/durable"
	"poplarworks/measure/faulty"
	"poplarworks/measure/probing"
	"poplarworks/measure/shortlong"
	"poplarworks/measure/slopes"
	"poplarworks/measure/soak"
	"poplarworks/measure/tail"
)

// Run parses the arguments and runs the command that they name.
func Run(args []string) error {
	root := &cli.Command{
		Name:  "measure",
		Usage: "run the experiments that docs/MEASUREMENTS.md reports",
		Commands: []*cli.Command{
			added.Command(),
			chaos.Command(),
			conformance.Command(),
			crest.Command(),
			doccheck.Command(),
			durable.Command(),
			faulty.Command(),
			probing.Command(),
			shortlong.Command(),
			slopes.Command(),
			soak.Command(),
			tail.Command(),
		},
	}
	return root.Run(context.Background(), args)
}
