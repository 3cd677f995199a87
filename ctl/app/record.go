package app

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"poplarworks/core/jsonc"
	"poplarworks/core/record"
	"poplarworks/core/recordformat"
	"poplarworks/ctl/client"
)

const codeNotFound = 5004

type wireRecord struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Schema   int    `json:"schema"`
	Revision uint64 `json:"revision"`
	Writer   string `json:"writer"`
	Source   string `json:"source"`
}

func recordCommand() *cli.Command {
	return newCommand("record", "list, read, write and check records").commands(
		newCommand("list", "list the current records").
			flags(&cli.StringFlag{Name: "kind", Usage: "only records of this kind"}).
			example("poplarctl record list --kind rule").
			run(listRecords),
		newCommand("get", "print a record as it was written").
			args("KIND NAME").
			example("poplarctl record get service status-reading > status-reading.jsonc").
			run(getRecord),
		newCommand("put", "write records from files, or from standard input with -").
			args("FILE...").
			flags(
				&cli.Uint64Flag{Name: "replaces", Usage: "revision that the write replaces; the current revision by default"},
				&cli.StringFlag{Name: "write-id", Usage: "id of an earlier write whose outcome is unknown; the entry applies it at most once"},
			).
			example("poplarctl record put --replaces 12 status-reading.jsonc").
			run(putRecords),
		newCommand("delete", "delete a record").
			args("KIND NAME").
			flags(&cli.Uint64Flag{Name: "replaces", Usage: "revision that the deletion replaces; the current revision by default"}).
			example("poplarctl record delete rule old-lookup").
			run(deleteRecord),
		newCommand("diff", "compare files with the current records; the exit code is 5 if they differ").
			args("FILE...").
			example("poplarctl record diff records/*.jsonc").
			run(diffRecords),
		newCommand("validate", "check files without writing; with --entry, check them against the current records too").
			args("FILE...").
			example("poplarctl record validate records/*.jsonc").
			run(validateRecords),
	).build()
}

func listRecords(ctx context.Context, s *session, c *cli.Command) error {
	data, err := s.client.Get(ctx, "/v1/records", url.Values{"kind": {c.String("kind")}})
	if err != nil {
		return err
	}
	if s.printer.JSON {
		return s.printer.Raw(data)
	}
	var list []wireRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	var rows [][]string
	for _, rec := range list {
		rows = append(rows, []string{rec.Kind, rec.Name, strconv.Itoa(rec.Schema), strconv.FormatUint(rec.Revision, 10), rec.Writer})
	}
	return s.printer.Table([]string{"kind", "name", "schema", "revision", "writer"}, rows)
}

func recordPath(key record.Key) string {
	return fmt.Sprintf("/v1/records/%s/%s", url.PathEscape(string(key.Kind)), url.PathEscape(key.Name))
}

func recordKeyArgument(c *cli.Command) (record.Key, error) {
	if c.Args().Len() != 2 {
		return record.Key{}, usageError("expected KIND and NAME")
	}
	return record.Key{Kind: record.Kind(c.Args().Get(0)), Name: c.Args().Get(1)}, nil
}

func (s *session) fetch(ctx context.Context, key record.Key) (wireRecord, []byte, error) {
	data, err := s.client.Get(ctx, recordPath(key), nil)
	if err != nil {
		return wireRecord{}, nil, err
	}
	var rec wireRecord
	return rec, data, json.Unmarshal(data, &rec)
}

// currentRecord returns the current record, or an empty one if the record does not exist.
func (s *session) currentRecord(ctx context.Context, key record.Key) (wireRecord, error) {
	rec, _, err := s.fetch(ctx, key)
	var apiError *client.APIError
	if errors.As(err, &apiError) && apiError.Code == codeNotFound {
		return wireRecord{}, nil
	}
	return rec, err
}

func getRecord(ctx context.Context, s *session, c *cli.Command) error {
	key, err := recordKeyArgument(c)
	if err != nil {
		return err
	}
	rec, data, err := s.fetch(ctx, key)
	if err != nil {
		return err
	}
	if s.printer.JSON {
		return s.printer.Raw(data)
	}
	return s.printer.Line("%s", strings.TrimRight(rec.Source, "\n"))
}

// draft is a record that was read from a file and is not written yet.
type draft struct {
	file string
	text []byte
	key  record.Key
}

func readDrafts(c *cli.Command) ([]draft, error) {
	if c.Args().Len() == 0 {
		return nil, usageError("expected at least one FILE, or - for standard input")
	}
	var drafts []draft
	for _, file := range c.Args().Slice() {
		text, err := readFile(file)
		if err != nil {
			return nil, usageError("%v", err)
		}
		rec, err := recordformat.Decode(file, text)
		if err != nil {
			return nil, usageError("%v", err)
		}
		drafts = append(drafts, draft{file: file, text: text, key: rec.Key})
	}
	return drafts, nil
}

func readFile(file string) ([]byte, error) {
	if file != "-" {
		return os.ReadFile(file)
	}
	return io.ReadAll(io.LimitReader(os.Stdin, jsonc.MaxBytes+1))
}

func putRecords(ctx context.Context, s *session, c *cli.Command) error {
	drafts, err := readDrafts(c)
	if err != nil {
		return err
	}
	if len(drafts) > 1 && (c.IsSet("replaces") || c.IsSet("write-id")) {
		return usageError("--replaces and --write-id require a single file")
	}
	for _, d := range drafts {
		if err := s.put(ctx, c, d); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) put(ctx context.Context, c *cli.Command, d draft) error {
	replaces, err := s.replacedRevision(ctx, c, d.key)
	if err != nil {
		return err
	}
	return s.write(ctx, d.key, d.file, d.text, replaces, c.String("write-id"))
}

func (s *session) replacedRevision(ctx context.Context, c *cli.Command, key record.Key) (uint64, error) {
	if c.IsSet("replaces") {
		return c.Uint64("replaces"), nil
	}
	current, err := s.currentRecord(ctx, key)
	return current.Revision, err
}

func (s *session) write(ctx context.Context, key record.Key, file string, text []byte, replaces uint64, writeID string) error {
	if writeID == "" {
		writeID = rand.Text()
	}
	data, err := s.client.Write(ctx, recordPath(key), file, text, replaces, writeID)
	if err != nil {
		return err
	}
	if s.printer.JSON {
		return s.printer.Raw(data)
	}
	var accepted wireRecord
	if err := json.Unmarshal(data, &accepted); err != nil {
		return err
	}
	return s.printer.Line("%s/%s accepted as revision %d", accepted.Kind, accepted.Name, accepted.Revision)
}

func deleteRecord(ctx context.Context, s *session, c *cli.Command) error {
	key, err := recordKeyArgument(c)
	if err != nil {
		return err
	}
	replaces, err := s.replacedRevision(ctx, c, key)
	if err != nil {
		return err
	}
	return s.write(ctx, key, "", nil, replaces, "")
}

func validateRecords(ctx context.Context, s *session, c *cli.Command) error {
	drafts, err := readDrafts(c)
	if err != nil {
		return err
	}
	for _, d := range drafts {
		if len(s.client.URLs) > 0 {
			if _, err := s.client.Post(ctx, "/v1/validate", url.Values{"file": {d.file}}, d.text); err != nil {
				return err
			}
		}
		if err := s.printer.Line("%s: %s/%s is valid", d.file, d.key.Kind, d.key.Name); err != nil {
			return err
		}
	}
	return nil
}

func diffRecords(ctx context.Context, s *session, c *cli.Command) error {
	drafts, err := readDrafts(c)
	if err != nil {
		return err
	}
	anyDiffers := false
	for _, d := range drafts {
		current, err := s.currentRecord(ctx, d.key)
		if err != nil {
			return err
		}
		if current.Source == string(d.text) {
			continue
		}
		anyDiffers = true
		if err := s.printDiff(d, current); err != nil {
			return err
		}
	}
	if anyDiffers {
		return cli.Exit("", exitNotSatisfied)
	}
	return nil
}

func (s *session) printDiff(d draft, current wireRecord) error {
	if err := s.printer.Line("%s/%s: revision %d in force differs from %s", d.key.Kind, d.key.Name, current.Revision, d.file); err != nil {
		return err
	}
	for _, line := range diffLines(splitLines(current.Source), splitLines(string(d.text))) {
		if err := s.printer.Line("%s", line); err != nil {
			return err
		}
	}
	return nil
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimRight(text, "\n"), "\n")
}
