package storeversion

import "testing"

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	ascending := []Version{0, New(0, 7), New(1, 0), New(1, 62), New(2, 60), New(2, 62), New(3, 1)}
	for i, v := range ascending[1:] {
		if previous := ascending[i]; previous >= v {
			t.Errorf("got %s not before %s, want the reverse", previous, v)
		}
	}
}

func TestEraAndNumberAreKept(t *testing.T) {
	scenarios := []struct {
		era, number uint64
		text        string
	}{
		{0, 0, "0.0"},
		{0, 62, "0.62"},
		{2, 62, "2.62"},
		{65535, 1<<48 - 1, "65535.281474976710655"},
	}
	for _, s := range scenarios {
		v := New(s.era, s.number)
		if v.Era() != s.era || v.Number() != s.number || v.String() != s.text {
			t.Errorf("got era %d, number %d, %q, want era %d, number %d, %q", v.Era(), v.Number(), v, s.era, s.number, s.text)
		}
	}
}
