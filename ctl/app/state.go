package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"
)

type wireStatus struct {
	Entry            string     `json:"entry"`
	DataCentre       string     `json:"data-centre"`
	State            string     `json:"state"`
	Revision         uint64     `json:"revision"`
	StoreUnavailable bool       `json:"store-down"`
	InFlight         int        `json:"requests-in-flight"`
	PendingClaims    int        `json:"claims-in-hand"`
	Peers            []wirePeer `json:"peers"`
	Alarms           []string   `json:"alarms"`
}

type wirePeer struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Listed   bool   `json:"listed"`
}

func statusCommand() *cli.Command {
	return newCommand("status", "show a summary of the state of an entry and its peers").
		example("poplarctl status").
		run(printStatus)
}

func printStatus(ctx context.Context, s *session, _ *cli.Command) error {
	data, err := s.client.Get(ctx, "/v1/status", nil)
	if err != nil {
		return err
	}
	if s.printer.JSON {
		return s.printer.Raw(data)
	}
	var status wireStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return err
	}
	ownRow := []string{status.Entry, status.State, strconv.FormatUint(status.Revision, 10), "true"}
	rows := [][]string{ownRow}
	for _, p := range status.Peers {
		rows = append(rows, []string{p.Name, p.State, strconv.FormatUint(p.Revision, 10), strconv.FormatBool(p.Listed)})
	}
	if err := s.printer.Table([]string{"entry", "state", "revision", "listed"}, rows); err != nil {
		return err
	}
	if err := s.printer.Line("data centre: %s, requests in flight: %d, pending claims: %d, store unavailable: %t",
		status.DataCentre, status.InFlight, status.PendingClaims, status.StoreUnavailable); err != nil {
		return err
	}
	for _, alarm := range status.Alarms {
		if err := s.printer.Line("alarm: %s", alarm); err != nil {
			return err
		}
	}
	return nil
}

func dumpCommand() *cli.Command {
	return newCommand("dump", "print the complete state of an entry, or of all entries, as JSON").
		flags(&cli.BoolFlag{Name: "all", Usage: "include every entry that the first one knows"}).
		example("poplarctl dump --all > dump.json").
		run(printDump)
}

func printDump(ctx context.Context, s *session, c *cli.Command) error {
	data, err := s.client.Get(ctx, "/v1/dump", url.Values{"all": {strconv.FormatBool(c.Bool("all"))}})
	if err != nil {
		return err
	}
	return s.printer.Raw(data)
}

func metricsCommand() *cli.Command {
	return newCommand("metrics", "print the metrics of an entry").
		example("poplarctl metrics --output json").
		run(printMetrics)
}

func printMetrics(ctx context.Context, s *session, _ *cli.Command) error {
	data, err := s.client.Get(ctx, "/v1/metrics", nil)
	if err != nil {
		return err
	}
	if s.printer.JSON {
		return s.printer.Raw(data)
	}
	var metrics map[string]map[string]float64
	if err := json.Unmarshal(data, &metrics); err != nil {
		return err
	}
	var rows [][]string
	for name, values := range metrics {
		for field, value := range values {
			rows = append(rows, []string{name, field, fmt.Sprintf("%g", value)})
		}
	}
	slices.SortFunc(rows, slices.Compare[[]string])
	return s.printer.Table([]string{"metric", "value", "number"}, rows)
}
