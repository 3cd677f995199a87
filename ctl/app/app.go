package app

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"poplarworks/ctl/client"
	"poplarworks/ctl/render"
)

// Exit codes of the program.
const (
	exitOK        = 0
	exitFailed    = 1 // the command failed, or its outcome is not known
	exitUsage     = 2 // the command line or a file is wrong
	exitRefused   = 3 // the entry refused, and nothing changed
	exitConflict  = 4 // another write came first
	exitNotYet    = 5 // a stop is not drained, or records differ
	codeConflict  = 5003
	codeWriteLost = 5005
)

// Run executes one command and returns its exit code.
func Run(args []string) int {
	err := root().Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "poplarctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var refusal *client.Refusal
	if !errors.As(err, &refusal) {
		return exitFailed
	}
	switch refusal.Code {
	case codeConflict:
		return exitConflict
	case codeWriteLost:
		return exitFailed
	default:
		return exitRefused
	}
}

func usage(format string, args ...any) error {
	return cli.Exit("poplarctl: "+fmt.Sprintf(format, args...), exitUsage)
}

func root() *cli.Command {
	return &cli.Command{
		Name:                  "poplarctl",
		Usage:                 "operate poplarworks: records, planned stops, state",
		EnableShellCompletion: true,
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {
			var coded cli.ExitCoder
			if errors.As(err, &coded) && coded.Error() != "" {
				fmt.Fprintln(os.Stderr, coded.Error())
			}
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Aliases: []string{"e"}, Sources: cli.EnvVars("POPLAR_ENTRY"), Usage: "operator API of an entry, as `URL`; the first that answers is used"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("POPLAR_TOKEN_FILE"), Usage: "read the operators' token from `FILE`"},
			&cli.StringFlag{Name: "ca-file", Sources: cli.EnvVars("POPLAR_CA_FILE"), Usage: "authorities of the entries' certificates"},
			&cli.StringFlag{Name: "certificate-file", Usage: "own certificate for mutual TLS"},
			&cli.StringFlag{Name: "key-file", Usage: "own key for mutual TLS"},
			&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("POPLAR_OPERATOR", "USER"), Usage: "name that other operators see beside your writes"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		Commands: []*cli.Command{recordCommand(), stopCommand(), statusCommand(), dumpCommand(), metricsCommand(), exampleCommand()},
	}
}

// session is what every command needs.
type session struct {
	client  *client.Client
	printer render.Printer
}

func newSession(c *cli.Command) (*session, error) {
	output := c.String("output")
	if output != "table" && output != "json" {
		return nil, usage("--output: expected table or json, got %s", output)
	}
	operator := c.String("operator")
	if operator == "" {
		operator = "unnamed"
	}
	return &session{
		client: &client.Client{
			URLs:            c.StringSlice("entry"),
			TokenFile:       c.String("token-file"),
			CAFile:          c.String("ca-file"),
			CertificateFile: c.String("certificate-file"),
			KeyFile:         c.String("key-file"),
			Operator:        operator,
		},
		printer: render.Printer{Out: c.Root().Writer, JSON: output == "json"},
	}, nil
}

// action adapts a function that needs a session.
func action(call func(ctx context.Context, s *session, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := newSession(c)
		if err != nil {
			return err
		}
		return call(ctx, s, c)
	}
}
