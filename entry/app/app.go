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
	exitInvariantViolation = 3                      // exit code after an invariant violation
	logFlushTimeout        = 100 * time.Millisecond // time to write queued log lines before the exit
	gcPercent              = 2000
	memoryLimit            = 200 << 20 // bytes; above this size the heap is collected more often
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
		c.Check = &invariant.Checker{Fail: func(violation string) {
			c.Log("invariant").Error(violation)
			sink.Flush(logFlushTimeout)
			os.Exit(exitInvariantViolation)
		}}
	}
	// The live heap is small compared with what requests allocate. Collecting it less often costs a little memory and
	// saves much processor time. The limit bounds the memory of a busy entry.
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return newEntry(c).run(signalled)
}
