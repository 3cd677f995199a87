package app

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"poplarworks/ctl/examples"
)

func exampleCommand() *cli.Command {
	return newCommand("example", "print an example of a record, with comments").
		args("KIND").
		flags(&cli.IntFlag{Name: "schema", Value: 2, Usage: "schema of the record, 1 or 2"}).
		example("poplarctl example rule --schema 2 > rule.jsonc").
		run(printExample)
}

func printExample(_ context.Context, s *session, c *cli.Command) error {
	kind := c.Args().First()
	text, ok := examples.Find(kind, c.Int("schema"))
	if !ok {
		return usageError("expected service, rule, stop or limits, and schema 1 or 2; got %s", fmt.Sprint(kind, " ", c.Int("schema")))
	}
	return s.printer.Line("%s", text)
}
