package recordformat

import (
	"reflect"
	"strings"
	"testing"

	"poplarworks/core/record"
)

const serviceTwo = `{"schema": 2, "kind": "service", "name": "s",
	"targets": [{"name": "a", "address": "127.0.0.1:81", "data-centre": "x"}],
	"capacity": {"slots": 3, "connections": 220, "max-entries": 18, "connect-cost": "1ms"},
	"probe": {"path": "/load", "cost": "6ms", "budget": "300ms"},
	"load-header": "L", "drain-header": "D", "ramp": "5s"}`

const serviceOne = `{"schema": 1, "kind": "service", "name": "s", "targets": ["a=127.0.0.1:81@x"],
	"slots": 3, "connections": 220, "entries": 18, "connect-cost-ms": 1,
	"probe-path": "/load", "probe-cost-ms": 6, "probe-budget-ms": 300, "load-header": "L", "drain-header": "D"}`

const ruleTwo = `{"schema": 2, "kind": "rule", "name": "r", "service": "s",
	"match": {"host": "h", "methods": ["POST"], "path-prefix": "/fees"}, "idempotent": false, "priority": 5,
	"deadline": "5s", "not-run-statuses": [503], "retry": {"ratio": 0.1, "max-attempts": 3}}`

const ruleOne = `{"schema": 1, "kind": "rule", "name": "r", "service": "s", "host": "h", "method": "POST", "path": "/fees",
	"safe-to-repeat": false, "priority": 5, "deadline-ms": 5000, "not-run": [503], "retries": 2}`

func TestBothSchemasDecodeToTheSameRecord(t *testing.T) {
	scenarios := []struct {
		name     string
		one, two string
	}{
		{"a service", serviceOne, serviceTwo},
		{"a rule", ruleOne, ruleTwo},
		{
			"a stop",
			`{"schema": 1, "kind": "stop", "name": "x", "service": "s", "target": "a", "at": "2026-12-24T18:00:00Z"}`,
			`{"schema": 2, "kind": "stop", "name": "x", "target": {"service": "s", "name": "a"}, "at": "2026-12-24T18:00:00Z"}`,
		},
		{
			"limits",
			`{"schema": 1, "kind": "limits", "name": "default", "reads": 10, "writes": 5, "entries": 3}`,
			`{"schema": 2, "kind": "limits", "name": "default", "reads-per-second": 10, "writes-per-second": 5, "max-entries": 3}`,
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			one, err := Decode("one", []byte(s.one))
			if err != nil {
				t.Fatalf("schema 1: %v", err)
			}
			two, err := Decode("two", []byte(s.two))
			if err != nil {
				t.Fatalf("schema 2: %v", err)
			}
			if one.Schema != 1 || two.Schema != 2 {
				t.Errorf("got schemas %d and %d, want 1 and 2", one.Schema, two.Schema)
			}
			one.Schema, two.Schema, one.Source, two.Source = 0, 0, nil, nil
			if !reflect.DeepEqual(one, two) {
				t.Errorf("got %+v, want %+v", body(one), body(two))
			}
		})
	}
}

func body(rec record.Record) any {
	switch rec.Key.Kind {
	case record.KindService:
		return *rec.Service
	case record.KindRule:
		return *rec.Rule
	case record.KindStop:
		return *rec.Stop
	default:
		return *rec.Limits
	}
}

func TestInvalidRecordsAreRefusedWithLineAndField(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		want string
	}{
		{"an unknown schema", `{"schema": 3, "kind": "rule"}`, "f:1: schema: expected 1 or 2"},
		{"no schema", `{"kind": "rule"}`, "f:1: schema: expected 1 or 2"},
		{"an unknown kind", `{"schema": 2, "kind": "pool"}`, "f:1: kind: expected one of service, rule, stop, limits"},
		{"no kind", `{"schema": 2, "name": "a"}`, "f:1: kind: expected one of"},
		{"a name with capitals", strings.Replace(ruleTwo, `"r"`, `"R"`, 1), "name: expected lower-case letters"},
		{"a field of the other schema", strings.Replace(ruleTwo, `"deadline": "5s"`, `"deadline-ms": 5000`, 1), "deadline-ms: unknown field"},
		{"no targets", `{"schema": 2, "kind": "service", "name": "s"}`, "targets: expected at least one target"},
		{"a target twice", strings.Replace(serviceTwo, "}],", `}, {"name": "a", "address": "127.0.0.1:82"}],`, 1), "got a twice"},
		{"an address twice", strings.Replace(serviceTwo, "}],", `}, {"name": "b", "address": "127.0.0.1:81"}],`, 1), "got 127.0.0.1:81 twice"},
		{"a target without a port", strings.Replace(serviceTwo, "127.0.0.1:81", "127.0.0.1", 1), "expected an IP address with a port"},
		{"a port of zero", strings.Replace(serviceTwo, ":81", ":0", 1), "expected an address with a port for target a"},
		{"fewer connections than entries", strings.Replace(serviceTwo, "220", "17", 1), "expected at least one connection for each entry"},
		{"methods in lower case", strings.Replace(ruleTwo, "POST", "post", 1), "expected methods in capitals, got post"},
		{"a path without a slash", strings.Replace(ruleTwo, `"/fees"`, `"fees"`, 1), "expected a path that begins with a slash"},
		{"hedging for a rule that is not idempotent", strings.Replace(ruleTwo, `"priority"`, `"hedge": {"ratio": 0.1}, "priority"`, 1), "expected no hedging"},
		{"a stop without target and entry", `{"schema": 2, "kind": "stop", "name": "x"}`, "expected either a target or an entry"},
		{"a stop with both target and entry", `{"schema": 1, "kind": "stop", "name": "x", "service": "s", "target": "a", "entry": "e"}`, "expected either a target or an entry"},
		{"a stop without a service", `{"schema": 2, "kind": "stop", "name": "x", "target": {"name": "a"}}`, "expected both the service and the name"},
		{"a truncated text", serviceTwo[:100], "f: "},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Decode("f", []byte(s.text))
			if err == nil {
				t.Fatalf("got no error, want %q", s.want)
			}
			if !strings.Contains(err.Error(), s.want) {
				t.Errorf("got %q, want it to contain %q", err, s.want)
			}
		})
	}
}

// FuzzDecode checks that no text makes the decoder panic, and that decoding the source of a decoded record again gives
// the same record.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{serviceOne, serviceTwo, ruleOne, ruleTwo, "{", "", "[[[["} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := Decode("f", text)
		if err != nil {
			return
		}
		again, err := Decode("f", first.Source)
		if err != nil {
			t.Fatalf("got %v for a text accepted before", err)
		}
		if !reflect.DeepEqual(first, again) {
			t.Errorf("got %+v, want %+v", again, first)
		}
	})
}
