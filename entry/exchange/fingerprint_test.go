package exchange

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"poplarworks/core/quarantine"
	"poplarworks/core/rule"
	"poplarworks/entry/common"
	"poplarworks/entry/relay"
	"poplarworks/entry/settings"
)

// fingerprint returns the fingerprint of a request after the change.
func fingerprint(change func(c *call)) quarantine.Fingerprint {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h.example/fees/1?x=2", nil)
	r.RemoteAddr = "10.0.0.1:1000"
	r.Header.Set("Studio", "studio-1")
	c := &call{
		Handler: &Handler{Common: &common.Common{Settings: settings.Settings{CallerIdentityHeader: "Studio"}}},
		r:       r,
		rule:    rule.Rule{Name: "fee", Service: "s"},
		body:    &body{prefix: []byte("amount=1")},
		key:     "key-1",
	}
	change(c)
	c.identify()
	return c.computeFingerprint()
}

// Guards against a crashing request that is taken for a new one when its caller sends it again.
func TestRepeatedRequestKeepsItsFingerprint(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(c *call)
		want   bool
	}{
		{"unchanged", func(*call) {}, true},
		{"from another address", func(c *call) { c.r.RemoteAddr = "10.1.0.7:1000" }, true},
		{"with another request id", func(c *call) { c.r.Header.Set(relay.RequestIDHeader, "id-2") }, true},
		{"with another idempotency key", func(c *call) { c.key = "key-2" }, true},
		{"without an idempotency key", func(c *call) { c.key = "" }, true},
		{"to another service of a traffic split", func(c *call) { c.rule.Service = "s2" }, true},
		{"of another caller", func(c *call) { c.r.Header.Set("Studio", "studio-2") }, false},
		{"with another method", func(c *call) { c.r.Method = http.MethodPut }, false},
		{"to another name of the entries", func(c *call) { c.r.Host = "other.example" }, true},
		{"by the rule of another host", func(c *call) { c.rule.Host = "other.example" }, false},
		{"with another query", func(c *call) { c.r.URL.RawQuery = "x=3" }, false},
		{"with another body", func(c *call) { c.body.prefix = []byte("amount=2") }, false},
	}
	original := fingerprint(func(*call) {})
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := fingerprint(s.change) == original; got != s.want {
				t.Errorf("got the same fingerprint %t, want %t", got, s.want)
			}
		})
	}
}

// Guards against a crashing request that is taken for a new one because it comes through another data centre.
func TestCallerWithoutIdentityKeepsItsFingerprint(t *testing.T) {
	anonymous := func(address string) quarantine.Fingerprint {
		return fingerprint(func(c *call) {
			c.key = ""
			c.r.Header.Del("Studio")
			c.r.RemoteAddr = address
		})
	}
	if anonymous("10.0.0.1:1000") != anonymous("10.1.0.7:1000") {
		t.Error("got different fingerprints for two addresses, want the same")
	}
}

// Guards against a crashing request that is taken for a new one because its body is framed in another way.
func TestLongBodyKeepsItsFingerprint(t *testing.T) {
	streamed := fingerprint(func(c *call) { c.body = &body{rest: &streamedBody{}} })
	chunked := fingerprint(func(c *call) { c.body = &body{prefix: []byte("prefix"), rest: &streamedBody{}} })
	if streamed != chunked {
		t.Error("got different fingerprints with a length and in chunks, want the same")
	}
}
