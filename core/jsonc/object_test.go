package jsonc

import (
	"strings"
	"testing"
	"time"
)

// readSample parses the text and reads a member of most types.
func readSample(text string) (*Object, error) {
	obj, err := Parse("file", []byte(text))
	if err != nil {
		return nil, err
	}
	obj.Required("name")
	obj.Int("count", 3, 1, 10)
	obj.Duration("wait", time.Second, time.Millisecond, time.Minute)
	obj.AddrPort("address")
	obj.Strings("list")
	obj.Bool("flag", false)
	obj.OneOf("class", "short", "long")
	child := obj.Object("child")
	child.Float("share", 0, 0, 1)
	child.Close()
	obj.Close()
	return obj, obj.Err()
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		want string
	}{
		{"a whole number out of bounds", "{\n\"name\": \"a\",\n\"count\": 11}", "file:3: count: expected a number from 1 to 10"},
		{"a fraction", "{\"name\": \"a\", \"count\": 1.5}", "file:1: count: expected a whole number from 1 to 10"},
		{"a number in place of a string", "{\"name\": 7}", "file:1: name: expected a string"},
		{"an empty required string", "{\"name\": \"\"}", "file:1: name: expected a string that is not empty"},
		{"a missing required string", "{}", "file:1: name: expected a string that is not empty"},
		{"an unknown field", "{\"name\": \"a\",\n// here\n\"naem\": 1}", "file:3: naem: unknown field"},
		{"an unknown field of a child", "{\"name\": \"a\", \"child\": {\"x\": 1}}", "file:1: child.x: unknown field"},
		{"a field given twice", "{\"name\": \"a\", \"name\": \"b\"}", "file:1: name: expected each field once"},
		{"a duration without a unit", "{\"name\": \"a\", \"wait\": \"5\"}", "file:1: wait: expected a duration from 1ms to 1m0s"},
		{"an address without a port", "{\"name\": \"a\", \"address\": \"127.0.0.1\"}", "file:1: address: expected an IP address with a port"},
		{"a host name as an address", "{\"name\": \"a\", \"address\": \"host:80\"}", "file:1: address: expected an IP address with a port"},
		{"a string in place of a list", "{\"name\": \"a\", \"list\": \"x\"}", "file:1: list: expected a list"},
		{"a list with a number", "{\"name\": \"a\", \"list\": [\"x\", 1]}", "file:1: list: expected a list of strings"},
		{"a string in place of a flag", "{\"name\": \"a\", \"flag\": \"yes\"}", "file:1: flag: expected true or false"},
		{"an unknown choice", "{\"name\": \"a\", \"class\": \"middle\"}", "file:1: class: expected one of short, long"},
		{"a list in place of an object", "{\"name\": \"a\", \"child\": []}", "file:1: child: expected an object"},
		{"a list in place of the outermost object", "[]", "file:1: (whole): expected an object"},
		{"a truncated text", "{\"name\": ", "file: "},
		{"nesting that is too deep", strings.Repeat("[", 100_000), "file:1: expected at most 32 levels of nesting"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := readSample(s.text)
			if err == nil {
				t.Fatalf("got no error, want %q", s.want)
			}
			if got := err.Error(); !strings.Contains(got, s.want) {
				t.Errorf("got %q, want it to contain %q", got, s.want)
			}
		})
	}
}

func TestCommentsAndTrailingCommasAreAccepted(t *testing.T) {
	_, err := readSample("// why\n{\"name\": \"a\", /* and */ \"count\": 2, \"list\": [\"x\",],}")
	if err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, err := readSample("{\"count\": 0,\n\"wait\": 3}")
	if err == nil {
		t.Fatal("got no error, want three problems")
	}
	if got, want := strings.Count(err.Error(), "\n")+1, 3; got != want {
		t.Errorf("got %d problems in %q, want %d", got, err, want)
	}
}
