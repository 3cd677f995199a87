package examples

import (
	"fmt"
	"testing"

	"poplarworks/core/recordformat"
)

func TestEveryExampleIsValid(t *testing.T) {
	for _, kind := range []string{"service", "rule", "stop", "limits"} {
		for schema := 1; schema <= 2; schema++ {
			t.Run(fmt.Sprint(kind, schema), func(t *testing.T) {
				text, ok := Find(kind, schema)
				if !ok {
					t.Fatal("got no example, want one")
				}
				rec, err := recordformat.Decode("example", []byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if rec.Schema != schema || string(rec.Key.Kind) != kind {
					t.Errorf("got %s of schema %d, want %s of schema %d", rec.Key.Kind, rec.Schema, kind, schema)
				}
			})
		}
	}
}
