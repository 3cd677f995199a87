package notation

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"poplarworks/core/jsonc"
)

// TestTheReferenceListsEveryField holds docs/CONFIGURATION.md and the decoders to the same names.
func TestTheReferenceListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{"service", "rule", "stop", "limits"} {
		for _, schema := range []int{1, 2} {
			t.Run(fmt.Sprint(kind, schema), func(t *testing.T) {
				heading := fmt.Sprintf("### %s, schema %d", kind, schema)
				_, section, found := strings.Cut(string(page), heading+"\n")
				if !found {
					t.Fatalf("got no section %q", heading)
				}
				section, _, _ = strings.Cut(section, "\n#")
				compare(t, listed(section), read(t, kind, schema))
			})
		}
	}
}

func listed(section string) []string {
	var names []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z0-9.\\[\\]-]+)` ").FindAllStringSubmatch(section, -1) {
		names = append(names, match[1])
	}
	return names
}

// read returns the names that the decoder of the kind and schema asks for.
func read(t *testing.T, kind string, schema int) []string {
	t.Helper()
	text := `{"targets": [{"name": "a"}]}`
	if schema == 1 {
		text = `{}`
	}
	obj, err := jsonc.Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	decoders := map[int]decoder{}
	for version := 1; version <= 2; version++ {
		versioned, _ := jsonc.Parse("f", []byte(fmt.Sprintf(`{"schema": %d}`, version)))
		_, decoders[version] = schemaOf(versioned)
	}
	switch kind {
	case "service":
		decoders[schema].Service(obj)
	case "rule":
		decoders[schema].Rule(obj)
	case "stop":
		decoders[schema].Stop(obj)
	case "limits":
		decoders[schema].Limits(obj)
	}
	names := []string{"schema", "kind"}
	for _, name := range obj.Fields() {
		names = append(names, strings.ReplaceAll(name, "[0]", "[]"))
	}
	return names
}

func compare(t *testing.T, listed, read []string) {
	t.Helper()
	for _, name := range read {
		if !slices.Contains(listed, name) {
			t.Errorf("got no row for %s, want one", name)
		}
	}
	for _, name := range listed {
		if !slices.Contains(read, name) {
			t.Errorf("got a row for %s, which no field is called", name)
		}
	}
}
