package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"poplarworks/core/record"
)

const pollInterval = 250 * time.Millisecond

type wireStopStatus struct {
	Name       string            `json:"name"`
	Revision   uint64            `json:"revision"`
	InForce    bool              `json:"in-force"`
	InFlight   int               `json:"in-flight"`
	Drained    bool              `json:"drained"`
	Entries    []wireEntryStatus `json:"entries"`
	Unreported []string          `json:"not-heard-from"`
}

type wireEntryStatus struct {
	Entry    string `json:"entry"`
	InFlight int    `json:"in-flight"`
	Open     bool   `json:"open"`
	Revision uint64 `json:"revision"`
}

func stopCommand() *cli.Command {
	return newCommand("stop", "announce, watch and withdraw planned stops").commands(
		newCommand("announce", "announce a stop, from which a target or an entry gets no new work").
			args("NAME").
			flags(
				&cli.StringFlag{Name: "service", Usage: "service of the target"},
				&cli.StringFlag{Name: "target", Usage: "target to stop"},
				&cli.StringFlag{Name: "entry-name", Usage: "entry to stop"},
				&cli.TimestampFlag{Name: "at", Usage: "when the stop begins, as an RFC 3339 time; now by default", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			).
			example("poplarctl stop announce patch-3 --service status-reading --target status-3").
			run(announceStop),
		newCommand("status", "show the work in flight that the stop still waits for").
			args("NAME").
			flags(
				&cli.BoolFlag{Name: "wait", Usage: "wait until no entry has work in flight"},
				&cli.DurationFlag{Name: "timeout", Value: 10 * time.Minute, Usage: "maximum time to wait"},
			).
			example("poplarctl stop status patch-3 --wait && ssh status-3 reboot").
			run(stopStatus),
		newCommand("withdraw", "withdraw a stop, so that the target or the entry gets work again").
			args("NAME").
			example("poplarctl stop withdraw patch-3").
			run(withdrawStop),
	).build()
}

func stopNameArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError("expected the NAME of the stop")
	}
	return c.Args().First(), nil
}

func announceStop(ctx context.Context, s *session, c *cli.Command) error {
	name, err := stopNameArgument(c)
	if err != nil {
		return err
	}
	text, err := stopText(name, c)
	if err != nil {
		return err
	}
	return s.write(ctx, record.Key{Kind: record.KindStop, Name: name}, "stop", text, 0, "")
}

func stopText(name string, c *cli.Command) ([]byte, error) {
	target := c.String("target") != "" && c.String("service") != ""
	if target == (c.String("entry-name") != "") {
		return nil, usageError("expected either --service with --target, or --entry-name")
	}
	var text strings.Builder
	fmt.Fprintf(&text, "{\n  \"schema\": 2,\n  \"kind\": \"stop\",\n  \"name\": %s,\n", strconv.Quote(name))
	if target {
		fmt.Fprintf(&text, "  \"target\": {\"service\": %s, \"name\": %s},\n", strconv.Quote(c.String("service")), strconv.Quote(c.String("target")))
	} else {
		fmt.Fprintf(&text, "  \"entry\": %s,\n", strconv.Quote(c.String("entry-name")))
	}
	if at := c.Timestamp("at"); !at.IsZero() {
		fmt.Fprintf(&text, "  \"at\": %s,\n", strconv.Quote(at.Format(time.RFC3339)))
	}
	text.WriteString("}\n")
	return []byte(text.String()), nil
}

func stopStatus(ctx context.Context, s *session, c *cli.Command) error {
	name, err := stopNameArgument(c)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Duration("timeout"))
	for {
		data, err := s.client.Get(ctx, "/v1/stops/"+url.PathEscape(name), nil)
		if err != nil {
			return err
		}
		var status wireStopStatus
		if err := json.Unmarshal(data, &status); err != nil {
			return err
		}
		if status.Drained || !c.Bool("wait") || time.Now().After(deadline) {
			return s.printStop(data, status)
		}
		time.Sleep(pollInterval)
	}
}

func (s *session) printStop(data []byte, status wireStopStatus) error {
	if s.printer.JSON {
		if err := s.printer.Raw(data); err != nil {
			return err
		}
	} else if err := s.printStopTable(status); err != nil {
		return err
	}
	if !status.Drained {
		return cli.Exit("", exitNotSatisfied)
	}
	return nil
}

func (s *session) printStopTable(status wireStopStatus) error {
	var rows [][]string
	for _, e := range status.Entries {
		rows = append(rows, []string{e.Entry, strconv.Itoa(e.InFlight), strconv.FormatBool(e.Open), strconv.FormatUint(e.Revision, 10)})
	}
	for _, name := range status.Unreported {
		rows = append(rows, []string{name, "?", "?", "not heard from"})
	}
	if err := s.printer.Table([]string{"entry", "in flight", "open", "revision"}, rows); err != nil {
		return err
	}
	return s.printer.Line("in force: %t, in flight: %d, drained: %t", status.InForce, status.InFlight, status.Drained)
}

func withdrawStop(ctx context.Context, s *session, c *cli.Command) error {
	name, err := stopNameArgument(c)
	if err != nil {
		return err
	}
	key := record.Key{Kind: record.KindStop, Name: name}
	current, _, err := s.fetch(ctx, key)
	if err != nil {
		return err
	}
	return s.write(ctx, key, "", nil, current.Revision, "")
}
