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

// Exit codes of the program and the result codes that select them.
const (
	exitOK           = 0
	exitFailed       = 1 // the command failed, or its outcome is unknown
	exitUsage        = 2 // the command line or a file is wrong
	exitRejected     = 3 // the entry rejected the request, and nothing changed
	exitConflict     = 4 // another write changed the record first
	exitNotSatisfied = 5 // a stop is not drained yet, or records differ
	codeConflict     = 5003
	codeWriteUnknown = 5005
)

// Run executes one command and returns its exit code.
func Run(args []string) int {
	err := rootCommand().Run(context.Background(), args)
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
	var apiError *client.APIError
	if !errors.As(err, &apiError) {
		return exitFailed
	}
	switch apiError.Code {
	case codeConflict:
		return exitConflict
	case codeWriteUnknown:
		return exitFailed
	default:
		return exitRejected
	}
}

func usageError(format string, args ...any) error {
	return cli.Exit("poplarctl: "+fmt.Sprintf(format, args...), exitUsage)
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "poplarctl",
		Usage:                 "operate poplarworks: manage records and planned stops, and show state",
		EnableShellCompletion: true,
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {
			var coded cli.ExitCoder
			if errors.As(err, &coded) && coded.Error() != "" {
				fmt.Fprintln(os.Stderr, coded.Error())
			}
		},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Aliases: []string{"e"}, Sources: cli.EnvVars("POPLAR_ENTRY"), Usage: "operator API of an entry, as `URL`; the first that responds is used"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("POPLAR_TOKEN_FILE"), Usage: "read the operators' token from `FILE`"},
			&cli.StringFlag{Name: "ca-file", Sources: cli.EnvVars("POPLAR_CA_FILE"), Usage: "certificate authorities of the entries, as a PEM file"},
			&cli.StringFlag{Name: "certificate-file", Usage: "client certificate for mutual TLS"},
			&cli.StringFlag{Name: "key-file", Usage: "private key of the client certificate"},
			&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("POPLAR_OPERATOR", "USER"), Usage: "name that is recorded as the writer of your changes"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output format: table or json"},
		},
		Commands: []*cli.Command{recordCommand(), stopCommand(), statusCommand(), dumpCommand(), metricsCommand(), exampleCommand()},
	}
}

// session holds the client and the printer that a command uses.
type session struct {
	client  *client.Client
	printer render.Printer
}

func newSession(c *cli.Command) (*session, error) {
	output := c.String("output")
	if output != "table" && output != "json" {
		return nil, usageError("--output: expected table or json, got %s", output)
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

// withSession adapts a function that needs a session to the type that the command line library calls.
func withSession(run func(ctx context.Context, s *session, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := newSession(c)
		if err != nil {
			return err
		}
		return run(ctx, s, c)
	}
}
