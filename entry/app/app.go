package app

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"poplarworks/core/invariant"
	"poplarworks/entry/commandline"
	"poplarworks/entry/common"
	"poplarworks/entry/logsink"
	"poplarworks/entry/settings"
)

const (
	exitBreach  = 3                      // exit code after a breach of an invariant
	flushWait   = 100 * time.Millisecond // for the log at the end
	gcPercent   = 2000
	memoryLimit = 200 << 20 // bytes, beyond which the heap is collected more often
)

// Run reads the arguments and serves until a signal arrives.
func Run(args []string) error {
	program := &commandline.Program[settings.Settings]{
		Name: "poplar-entry", Usage: "balances callers' requests over targets", Read: read, Serve: serve,
	}
	return program.Run(args)
}

func read(file string) (settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Parse(file, text)
}

func serve(ctx context.Context, _ string, parsed settings.Settings) error {
	sink := &logsink.Sink{Out: os.Stderr}
	go sink.Run()
	c, err := common.New(parsed, sink)
	if err != nil {
		return err
	}
	if parsed.AssertInvariants {
		c.Check = &invariant.Checker{Fail: func(breach string) {
			c.Log("invariant").Error(breach)
			sink.Flush(flushWait)
			os.Exit(exitBreach)
		}}
	}
	// The live heap is small against what each request allocates; collecting it less often costs a little memory and
	// saves much processor time, and the limit keeps a busy entry's memory in bounds.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return newEntry(c).run(signalled)
}
