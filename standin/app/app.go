package app

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/standin/platform"
)

// Run reads the arguments and serves until a signal arrives.
func Run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:     "poplar-standin",
		Usage:    "stand-ins of the platform and of targets, for tests and examples",
		Commands: []*cli.Command{platformCommand(), targetsCommand()},
	}
	return root.Run(ctx, args)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the table, object store and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000", Usage: "where to listen"},
			&cli.DurationFlag{Name: "vm-list-lag", Usage: "how long the VM list trails the truth"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := &platform.Server{Lag: c.Duration("vm-list-lag")}
			return serve(ctx, c.String("address"), server.Handler())
		},
	}
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
