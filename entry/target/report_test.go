package target

import "testing"

func TestParseLoad(t *testing.T) {
	scenarios := []struct {
		name  string
		value string
		want  int
		ok    bool
	}{
		{"a report", "TEXT named_metrics.in_flight=3,named_metrics.slots=6", 3, true},
		{"another order", "TEXT rps=0.5, named_metrics.in_flight=7", 7, true},
		{"none", "", 0, false},
		{"another format", `JSON {"named_metrics": {"in_flight": 3}}`, 0, false},
		{"no such metric", "TEXT rps=0.5", 0, false},
		{"no number", "TEXT named_metrics.in_flight=x", 0, false},
		{"a negative number", "TEXT named_metrics.in_flight=-1", 0, false},
		{"an implausible number", "TEXT named_metrics.in_flight=1e300", 0, false},
		{"not a number", "TEXT named_metrics.in_flight=NaN", 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, ok := ParseLoad(s.value)
			if got != s.want || ok != s.ok {
				t.Errorf("got %d %t, want %d %t", got, ok, s.want, s.ok)
			}
		})
	}
}

// FuzzParseLoad checks that no header value makes the parser panic or return an implausible load.
func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT named_metrics.in_flight=3")
	f.Fuzz(func(t *testing.T, value string) {
		if got, ok := ParseLoad(value); got < 0 || got > maxReportedInFlight || !ok && got != 0 {
			t.Errorf("got %d %t for %q", got, ok, value)
		}
	})
}
