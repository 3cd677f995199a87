package recordformat

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"poplarworks/core/jsonc"
)

// TestReferencePageListsEveryField checks that docs/CONFIGURATION.md documents exactly the fields that the decoders
// read.
func TestReferencePageListsEveryField(t *testing.T) {
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
				compareFields(t, documentedFields(section), decodedFields(t, kind, schema))
			})
		}
	}
}

// documentedFields returns the field names in the table of the section.
func documentedFields(section string) []string {
	var names []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z0-9.\\[\\]-]+)` ").FindAllStringSubmatch(section, -1) {
		names = append(names, match[1])
	}
	return names
}

// decodedFields returns the field names that the decoder of the kind and schema reads.
func decodedFields(t *testing.T, kind string, schema int) []string {
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

func compareFields(t *testing.T, documented, decoded []string) {
	t.Helper()
	for _, name := range decoded {
		if !slices.Contains(documented, name) {
			t.Errorf("no row in the reference for field %s, want one", name)
		}
	}
	for _, name := range documented {
		if !slices.Contains(decoded, name) {
			t.Errorf("row in the reference for %s, which is not a field", name)
		}
	}
}
