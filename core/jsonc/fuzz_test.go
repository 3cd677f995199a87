package jsonc

import "testing"

// FuzzParse checks that no text makes the parser panic, and that a text without the required field is not accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", "count": 3, "list": ["x"], "child": {"share": 0.5}}`))
	f.Add([]byte(`{"a": {"b": [1, {"c": null}]}} // x`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if obj, err := readSample(string(text)); err == nil && !obj.Has("name") {
			t.Errorf("got %q accepted without its required field", text)
		}
	})
}
