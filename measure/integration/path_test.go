package integration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poplarworks/measure/fleet"
	"poplarworks/measure/plan"
)

func TestLookupsAndFeesEndToEnd(t *testing.T) {
	d := start(t, plan.Plan{})
	for entry := range d.Entries {
		d.served(entry, "/status/7")
	}
	first := d.pay(0, "k1")
	again := d.pay(1, "k1")
	if first.status != 200 || again.status != 200 || first.body != again.body {
		t.Errorf("got %d %q and %d %q, want the first response twice", first.status, first.body, again.status, again.body)
	}
	if again.header.Get("Poplar-Replayed") != "true" {
		t.Error("got no Poplar-Replayed header in the second response, want true")
	}
	if got := d.runs(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

func TestOperatorsReadAndChangeRecords(t *testing.T) {
	d := start(t, plan.Plan{})
	file := filepath.Join(t.TempDir(), "rule.jsonc")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list := d.ctl(0, "record", "list")
	if !strings.Contains(list, "lookup") || !strings.Contains(list, "harness") {
		t.Errorf("got %q, want the rule and the operator who wrote it", list)
	}
	write(strings.TrimSpace(d.ctl(0, "record", "get", "rule", "lookup")))
	d.ctl(0, "record", "diff", file)
	write(`{"schema": 2, "kind": "rule", "name": "lookup", "service": "status", "match": {"path-prefix": "/status"}, "idempotent": true, "deadline": "1s"}`)
	if got := d.ctl(5, "record", "diff", file); !strings.Contains(got, "revision 3 in force differs") {
		t.Errorf("got %q, want the difference to revision 3", got)
	}
	d.ctl(0, "record", "validate", file)
	d.ctl(4, "record", "put", "--replaces", "2", file)
	d.ctl(0, "record", "put", "--replaces", "3", file)
	d.inForce(7)
	if got := d.ctl(4, "record", "put", "--replaces", "3", file); !strings.Contains(got, "revision 7 by harness stands") {
		t.Errorf("got %q, want the conflicting revision and its operator", got)
	}
	write(`{"schema": 2, "kind": "rule", "name": "lookup",` + "\n" + `"service": "nowhere", "idempotent": true}`)
	d.ctl(3, "record", "put", file)
	write(`{"schema": 9, "kind": "rule"}`)
	if got := d.ctl(2, "record", "put", file); !strings.Contains(got, "rule.jsonc:1: schema: expected 1 or 2") {
		t.Errorf("got %q, want file, line and field", got)
	}
	d.ctl(3, "record", "delete", "service", "status")
	d.ctl(0, "record", "delete", "rule", "build")
	d.inForce(8)
	if got := d.get(2, "/builds/1"); got.code() != "1002 not-run" {
		t.Errorf("got %s for a rule that was deleted, want 1002 not-run", got.code())
	}
	for _, command := range []string{"status", "dump", "metrics"} {
		d.ctl(0, command)
	}
	d.ctl(0, "--output", "json", "status")
	d.ctl(2, "--output", "yaml", "status")
	d.ctl(0, "dump", "--all")
}

func TestOperatorsNeedTheToken(t *testing.T) {
	folder := t.TempDir()
	right, wrong := filepath.Join(folder, "right"), filepath.Join(folder, "wrong")
	for file, text := range map[string]string{right: "a-token-of-some-length", wrong: "another-token-as-long"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f, err := fleet.Start(plan.Plan{Entries: 1, TokenFile: right, Groups: []plan.Group{group("status")}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	scenarios := []struct {
		name string
		file string
		want int
	}{
		{"the right token", right, 0},
		{"another token", wrong, 3},
		{"no token", "", 3},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f.Plan.TokenFile = s.file
			output, code := f.Ctl(f.Entries[0], "record", "list")
			if code != s.want {
				t.Errorf("got exit code %d, want %d: %s", code, s.want, output)
			}
		})
	}
}
