package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"poplarworks/core/invariant"
	"poplarworks/entry/common"
	"poplarworks/entry/logformat"
	"poplarworks/entry/logsink"
	"poplarworks/entry/settings"
)

// Exit codes of the program.
const (
	exitUsage  = 2
	exitBreach = 3
	flushWait  = 100 * time.Millisecond // for the log at the end
)

const (
	gcPercent   = 2000
	memoryLimit = 200 << 20 // bytes, beyond which the heap is collected more often
)

// Run reads the arguments and serves until a signal arrives.
func Run(args []string) error {
	root := &cli.Command{
		Name:      "poplar-entry",
		Usage:     "balances callers' requests over targets",
		UsageText: "poplar-entry --settings FILE [--check]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "read the settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return start(ctx, c.String("settings"), c.Bool("check"))
		},
	}
	return root.Run(context.Background(), args)
}

func start(ctx context.Context, file string, checkOnly bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	parsed, err := settings.Parse(file, text)
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if checkOnly {
		fmt.Println(file + ": the settings are valid")
		return nil
	}
	common, err := newCommon(parsed)
	if err != nil {
		return err
	}
	// The live heap is small against what each request allocates; collecting it less often costs a little memory and
	// saves much processor time, and the limit keeps a busy entry's memory in bounds.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return newEntry(common).run(signalled)
}

func newCommon(parsed settings.Settings) (*common.Common, error) {
	level, err := logrus.ParseLevel(parsed.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	sink := &logsink.Sink{Out: os.Stderr}
	go sink.Run()
	logger.SetOutput(sink)
	logger.SetLevel(level)
	logger.SetFormatter(logformat.New())
	c := &common.Common{
		Settings:    parsed,
		Logger:      logger,
		Metrics:     metrics.NewRegistry(),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	if parsed.AssertInvariants {
		c.Check = &invariant.Checker{Fail: func(breach string) {
			c.Log("invariant").Error(breach)
			sink.Flush(flushWait)
			os.Exit(exitBreach)
		}}
	}
	return c, nil
}
