package commandline

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

const exitUsage = 2

// Program is one variant of the entry. It reads its settings, of type S, from a file. Its fields must be set before
// Run.
type Program[S any] struct {
	Name  string
	Usage string
	Read  func(file string) (S, error)
	Serve func(ctx context.Context, file string, settings S) error
}

// Run reads the arguments and the settings, and serves until a signal arrives.
func (p *Program[S]) Run(args []string) error {
	root := &cli.Command{
		Name:      p.Name,
		Usage:     p.Usage,
		UsageText: p.Name + " --settings FILE [--check]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "read the settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return p.start(ctx, c.String("settings"), c.Bool("check"))
		},
	}
	return root.Run(context.Background(), args)
}

func (p *Program[S]) start(ctx context.Context, file string, checkOnly bool) error {
	settings, err := p.Read(file)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if checkOnly {
		fmt.Println(file + ": the settings are valid")
		return nil
	}
	return p.Serve(ctx, file, settings)
}
