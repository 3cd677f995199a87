package app

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/standin/control"
	"poplarworks/standin/execlog"
	"poplarworks/standin/noise"
	"poplarworks/standin/target"
)

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "serve a group of targets in one process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "prefix", Value: "target", Usage: "targets are named PREFIX-1, PREFIX-2 and so on"},
			&cli.StringFlag{Name: "first-address", Value: "127.0.0.1:8001", Usage: "address of the first target; others take the next ports"},
			&cli.StringFlag{Name: "control-address", Usage: "address of the control API"},
			&cli.IntFlag{Name: "count", Value: 1},
			&cli.IntFlag{Name: "slots", Value: 3},
			&cli.IntFlag{Name: "connections", Value: 220},
			&cli.IntFlag{Name: "queue", Value: 50, Usage: "maximum number of requests that wait at one target"},
			&cli.DurationFlag{Name: "connect-cost", Value: time.Millisecond},
			&cli.DurationFlag{Name: "probe-cost", Value: time.Millisecond},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "report-lag", Value: 20 * time.Millisecond},
			&cli.DurationFlag{Name: "restart-after", Value: 500 * time.Millisecond},
			&cli.DurationFlag{Name: "cold-for"},
			&cli.FloatFlag{Name: "cold-factor", Value: 1},
			&cli.DurationFlag{Name: "noise-quiet", Usage: "mean length of a quiet phase; 0 disables noisy neighbours"},
			&cli.DurationFlag{Name: "noise-noisy", Usage: "mean length of a noisy phase"},
			&cli.FloatFlag{Name: "noise-factor", Value: 4},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runTargets,
	}
}

func runTargets(ctx context.Context, c *cli.Command) error {
	first, err := netip.ParseAddrPort(c.String("first-address"))
	if err != nil {
		return err
	}
	log := &execlog.Log{}
	var servers []*target.Server
	for i := range c.Int("count") {
		server := buildTarget(c, i, first, log)
		servers = append(servers, server)
		go func() {
			if err := server.Run(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "target:", err)
				os.Exit(1)
			}
		}()
	}
	if c.String("control-address") == "" {
		<-ctx.Done()
		return nil
	}
	controls := &control.API{Targets: servers, Log: log}
	return serve(ctx, c.String("control-address"), controls.Handler())
}

func buildTarget(c *cli.Command, i int, first netip.AddrPort, log *execlog.Log) *target.Server {
	return &target.Server{
		Name:            fmt.Sprintf("%s-%d", c.String("prefix"), i+1),
		Address:         netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)),
		Slots:           c.Int("slots"),
		Connections:     c.Int("connections"),
		QueueLimit:      c.Int("queue"),
		ConnectCost:     c.Duration("connect-cost"),
		ProbeCost:       c.Duration("probe-cost"),
		Work:            c.Duration("work"),
		ReportLag:       c.Duration("report-lag"),
		RestartAfter:    c.Duration("restart-after"),
		SlowStartTime:   c.Duration("cold-for"),
		SlowStartFactor: c.Float("cold-factor"),
		Noise: noise.Schedule{
			Seed:   c.Uint64("seed")*1000 + uint64(i),
			Quiet:  c.Duration("noise-quiet"),
			Noisy:  c.Duration("noise-noisy"),
			Factor: c.Float("noise-factor"),
		},
		Log: log,
	}
}
