package settings

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"poplarworks/core/jsonc"
)

const valid = `{
	"name": "entry-1", "data-centre": "ikeja",
	"callers": {"address": "127.0.0.1:9000"},
	"operators": {"address": "127.0.0.1:9100"},
	"peers": {"address": "127.0.0.1:9200"},
	"platform": {"table-url": "http://127.0.0.1:7000", "objects-url": "http://127.0.0.1:7000", "vms-url": "http://127.0.0.1:7000/vms/entry-1"},
}`

func TestValidSettings(t *testing.T) {
	got, err := Parse("file", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "entry-1" || got.CallerAddress.Port() != 9000 || got.Picker != "power-of-d" {
		t.Errorf("got %+v, want the fields as written and the default picker", got)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	replace := func(before, after string) string { return strings.Replace(valid, before, after, 1) }
	scenarios := []struct {
		name string
		text string
		want string
	}{
		{"no name", replace(`"name": "entry-1",`, ""), "name: expected a string that is not empty"},
		{"an unknown field", replace(`"name"`, `"nome": 1, "name"`), "file:2: nome: unknown field"},
		{"an unknown field of a section", replace(`{"address": "127.0.0.1:9000"`, `{"port": 1, "address": "127.0.0.1:9000"`), "file:3: callers.port: unknown field"},
		{"no callers' address", replace(`"callers": {"address": "127.0.0.1:9000"},`, ""), "callers.address: expected an IP address"},
		{"a number as an address", replace(`"127.0.0.1:9000"`, "9000"), "callers.address: expected a string"},
		{"an operator address that is not loopback, without a token", replace("127.0.0.1:9100", "10.0.0.1:9100"), "operators.token-file: expected a token file or client-ca-file"},
		{"a peer address that is not loopback, without TLS", replace("127.0.0.1:9200", "10.0.0.1:9200"), "peers.tls: expected client-ca-file"},
		{"a certificate without a key", replace(`{"address": "127.0.0.1:9000"`, `{"tls": {"certificate-file": "c"}, "address": "127.0.0.1:9000"`), "expected both certificate-file and key-file"},
		{"a URL without a scheme", replace(`"http://127.0.0.1:7000"`, `"127.0.0.1:7000"`), "platform.table-url: expected a URL"},
		{"an unknown picker", replace(`"name"`, `"picker": "best", "name"`), "picker: expected one of"},
		{"an oracle picker without a URL of the loads", replace(`"name"`, `"picker": "oracle", "name"`), "oracle-url: expected a URL"},
		{"a negative limit", replace(`{"address": "127.0.0.1:9000"`, `{"max-connections": -1, "address": "127.0.0.1:9000"`), "callers.max-connections: expected a number"},
		{"a truncated file", valid[:60], "file: "},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Parse("file", []byte(s.text))
			if err == nil || !strings.Contains(err.Error(), s.want) {
				t.Errorf("got %v, want it to contain %q", err, s.want)
			}
		})
	}
}

// TestReferencePageListsEverySetting checks that docs/CONFIGURATION.md and the parser have the same field names.
func TestReferencePageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Settings of an entry")
	if !found {
		t.Fatal("got no section on the settings of an entry")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z.-]+)` ").FindAllStringSubmatch(section, -1) {
		listed = append(listed, match[1])
	}
	obj, err := jsonc.Parse("file", []byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	Read(obj)
	read := obj.Fields()
	for _, name := range read {
		if !slices.Contains(listed, name) {
			t.Errorf("got no row for %s, want one", name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(read, name) {
			t.Errorf("got a row for %s, want none since there is no such setting", name)
		}
	}
}

// FuzzParse checks that no text makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("file", text); err == nil && (s.Name == "" || !s.CallerAddress.IsValid()) {
			t.Errorf("got %+v accepted without a name or an address", s)
		}
	})
}
