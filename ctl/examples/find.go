package examples

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.jsonc
var files embed.FS

// Find returns the example of a kind and schema, and whether there is one.
func Find(kind string, schema int) (string, bool) {
	text, err := files.ReadFile(fmt.Sprintf("%s_%d.jsonc", kind, schema))
	if err != nil {
		return "", false
	}
	return strings.TrimRight(string(text), "\n"), true
}
