package app

import (
	"context"

	"github.com/urfave/cli/v3"
)

// commandBuilder builds one command through chained calls.
type commandBuilder struct {
	command *cli.Command
}

func newCommand(name, usage string) *commandBuilder {
	return &commandBuilder{command: &cli.Command{Name: name, Usage: usage}}
}

func (b *commandBuilder) args(text string) *commandBuilder {
	b.command.ArgsUsage = text
	return b
}

func (b *commandBuilder) example(text string) *commandBuilder {
	b.command.Description = "Example:\n   " + text
	return b
}

func (b *commandBuilder) flags(flags ...cli.Flag) *commandBuilder {
	b.command.Flags = append(b.command.Flags, flags...)
	return b
}

func (b *commandBuilder) commands(commands ...*cli.Command) *commandBuilder {
	b.command.Commands = commands
	return b
}

func (b *commandBuilder) run(function func(ctx context.Context, s *session, c *cli.Command) error) *cli.Command {
	b.command.Action = withSession(function)
	return b.command
}

func (b *commandBuilder) build() *cli.Command {
	return b.command
}
