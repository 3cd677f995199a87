package requestpath

import "testing"

func TestNormalise(t *testing.T) {
	scenarios := []struct{ path, want string }{
		{"/tickets/1", "/tickets/1"},
		{"/tickets/status%2Ff1", "/tickets/status%2Ff1"},
		{"/tickets/status%2ff1", "/tickets/status%2Ff1"},
		{"/%74ickets", "/tickets"},
		{"/%7Euser/%2e%2E", "/~user/.."},
		{"/a%00b", "/a%00b"},
		{"/a|b", "/a%7Cb"},
		{"/a%7cb", "/a%7Cb"},
		{"/a;v=1,2", "/a;v=1,2"},
		{"/a%3Bv", "/a%3Bv"},
		{"//a//", "//a//"},
		{"/ü b", "/%C3%BC%20b"},
		{"/100%", "/100%25"},
		{"/%zz%4", "/%25zz%254"},
		{"/a%25%32%46", "/a%252F"},
	}
	for _, s := range scenarios {
		if got := Normalise(s.path); got != s.want {
			t.Errorf("%s: got %s, want %s", s.path, got, s.want)
		}
	}
}

func TestEscape(t *testing.T) {
	scenarios := []struct{ path, want string }{
		{"/a/b", "/a/b"},
		{"/%74/a%2fb|", "/%74/a%2fb%7C"},
		{"/a[1]", "/a[1]"},
		{"/100%|", "/100%25%7C"},
		{`/"<é>`, "/%22%3C%C3%A9%3E"},
	}
	for _, s := range scenarios {
		if got := Escape(s.path); got != s.want {
			t.Errorf("%s: got %s, want %s", s.path, got, s.want)
		}
	}
}

// Guards against paths that change when they are normalised again, and so against two readings of one path.
func FuzzNormalise(f *testing.F) {
	for _, path := range []string{"/tickets/status%2Ff1", "/%25%32%46", "/ü|%", "/.%2e/"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		once := Normalise(path)
		if again := Normalise(once); again != once {
			t.Errorf("%q: got %q, then %q", path, once, again)
		}
		if got := Normalise(Escape(path)); got != once {
			t.Errorf("%q: got %q after it was escaped, want %q", path, got, once)
		}
	})
}

func TestHasDotSegment(t *testing.T) {
	scenarios := []struct {
		path string
		want bool
	}{
		{"/a/b", false}, {"/a/../b", true}, {"/a/..", true}, {"/./a", true}, {"/a/...", false}, {"/.well-known/x", false}, {"/a..b/", false}, {"/a/.", true},
	}
	for _, s := range scenarios {
		if got := HasDotSegment(s.path); got != s.want {
			t.Errorf("%s: got %t, want %t", s.path, got, s.want)
		}
	}
}
