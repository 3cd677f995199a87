package exchange

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a request that runs under a rule to which its path does not lead, because the rule is chosen by another
// reading of the path than the one that is sent on.
func TestURIsAreReadInOneWay(t *testing.T) {
	scenarios := []struct {
		name   string
		target string
		host   string
		want   string // status and code
		seen   string // URI at the target; empty if it gets nothing
	}{
		{"plain", "/status/1?a=%2F", "h", "200", "/status/1?a=%2F"},
		{"an escaped slash is no slash", "/status%2F1", "h", "404 1002", ""},
		{"an escaped slash in lower case", "/fees%2f1", "h", "404 1002", ""},
		{"an escaped slash behind the prefix", "/status/a%2Fb", "h", "200", "/status/a%2Fb"},
		{"an escaped letter", "/%73tatus/1", "h", "200", "/%73tatus/1"},
		{"an escaped letter under a rule with a key", "/%66ees/1", "h", "400 1006", ""},
		{"an escaped NUL", "/status/%00", "h", "200", "/status/%00"},
		{"an escape that is cut off", "/status/%", "h", "400", ""},
		{"an escape of no octet", "/status/%zz", "h", "400", ""},
		{"a dot segment", "/status/../fees/1", "h", "400 1001", ""},
		{"an escaped dot segment", "/status/%2e%2E/fees/1", "h", "400 1001", ""},
		{"dots that are no segment", "/status/..a/...", "h", "200", "/status/..a/..."},
		{"empty segments", "/status//1//", "h", "200", "/status//1//"},
		{"an empty first segment", "//status/1", "h", "404 1002", ""},
		{"parameters", "/status/1;v=2", "h", "200", "/status/1;v=2"},
		{"a character that may not stand in a path", "/status/a|b", "h", "200", "/status/a%7Cb"},
		{"an escape beside such a character", "/status/%73/a%2Fb|", "h", "200", "/status/%73/a%2Fb%7C"},
		{"an escaped slash beside such a character", "/status%2F|", "h", "404 1002", ""},
		{"absolute form", "http://h/status/1", "h", "200", "/status/1"},
		{"absolute form with user information", "http://u:p@h/status/1", "h", "200", "/status/1"},
		{"an asterisk", "*", "h", "400 1001", ""},
		{"no slash", "status/1", "h", "400", ""},
		{"host in upper case, with a dot and a port", "/vault/1", "VAULT.Example.:80", "200", "/vault/1"},
		{"another host", "/vault/1", "h", "404 1002", ""},
		{"two hosts", "/status/1", "h\r\nHost: i", "400", ""},
	}
	seen := make(chan string, 10)
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.RequestURI })
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			head := h.raw("POST " + s.target + " HTTP/1.1\r\nHost: " + s.host + "\r\nContent-Length: 0\r\n\r\n")
			status, errorCode, _ := strings.Cut(s.want, " ")
			if !strings.HasPrefix(head, "HTTP/1.1 "+status) || !strings.Contains(head, "Poplar-Code: "+errorCode) && errorCode != "" {
				t.Errorf("got %q, want %s", head, s.want)
			}
			select {
			case got := <-seen:
				if got != s.seen {
					t.Errorf("got %s at the target, want %q", got, s.seen)
				}
			default:
				if s.seen != "" {
					t.Errorf("got nothing at the target, want %s", s.seen)
				}
			}
		})
	}
}
