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

// Run executes the command in the arguments and serves until SIGTERM or SIGINT arrives.
func Run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:     "poplar-standin",
		Usage:    "simulate the platform and targets, for tests and examples",
		Commands: []*cli.Command{platformCommand(), targetsCommand()},
	}
	return root.Run(ctx, args)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the table service, the object store and the VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000", Usage: "address to listen on"},
			&cli.DurationFlag{Name: "vm-list-lag", Usage: "delay until readers see a change of the VM list"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			server := &platform.Server{VMListLag: c.Duration("vm-list-lag")}
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
