package exchange

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"poplarworks/core/code"
	"poplarworks/core/quarantine"
	"poplarworks/core/request"
	"poplarworks/core/requestpath"
	"poplarworks/core/rule"
	"poplarworks/entry/refusal"
	"poplarworks/entry/relay"
)

const (
	maxRequestIDLength = 128
	maxKeyLength       = 256
)

// prepare matches the rule, chooses the service, and reads deadline, key and buffered body of the request. It returns a
// refusal or nil.
func (c *call) prepare() *refusal.Refusal {
	if refused := c.admit(); refused != nil {
		return refused
	}
	c.identify()
	if refused := c.checkHeader(); refused != nil {
		return refused
	}
	if requestpath.HasDotSegment(c.path) {
		return refused(code.MalformedRequest)
	}
	found, ok := c.Records.Catalog().Match(hostName(c.r.Host), c.r.Method, c.path)
	if !ok {
		return refused(code.NoRule)
	}
	c.rule = found
	c.service, ok = c.Services.Choose(&c.rule)
	if !ok {
		return refused(code.NoTarget)
	}
	c.rule.Service = c.service.Record().Name
	c.setDeadline()
	if refused := c.readKey(); refused != nil {
		return refused
	}
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.fingerprint = c.computeFingerprint()
	if until, quarantined := c.Crashes.Quarantined(c.Now(), c.fingerprint); quarantined {
		return &refusal.Refusal{Code: code.Quarantined, Execution: code.NotRun, RetryAfter: until.Sub(c.Now())}
	}
	return nil
}

// hostName returns the host without port and without the dot that marks a fully qualified name.
func hostName(authority string) string {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return strings.TrimSuffix(host, ".")
}

// uri returns path and query in the form in which requests are compared.
func (c *call) uri() string {
	if c.r.URL.RawQuery == "" && !c.r.URL.ForceQuery {
		return c.path
	}
	return c.path + "?" + c.r.URL.RawQuery
}

func refused(errorCode code.Code) *refusal.Refusal {
	r := refusal.NotRun(errorCode)
	return &r
}

// identify sets the origin, the path and the id of the request. A missing or invalid id is replaced by a random one.
func (c *call) identify() {
	remote, err := netip.ParseAddrPort(c.r.RemoteAddr)
	if err != nil {
		remote = netip.AddrPort{}
	}
	c.origin = relay.Origin{Remote: remote.Addr().Unmap(), Secure: c.r.TLS != nil}
	for _, prefix := range c.Settings.TrustedBalancers {
		c.origin.Trusted = c.origin.Trusted || prefix.Contains(c.origin.Remote)
	}
	if raw := c.r.URL.RawPath; raw != "" {
		// net/url would rather drop the escapes of a path with a character that may not stand in it.
		c.r.URL.RawPath = requestpath.Escape(raw)
	}
	c.path = requestpath.Normalise(c.r.URL.EscapedPath())
	c.id = c.r.Header.Get(relay.RequestIDHeader)
	if c.id == "" || len(c.id) > maxRequestIDLength || !printable(c.id) {
		c.id = rand.Text()
	}
}

func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func (c *call) checkHeader() *refusal.Refusal {
	size := len(c.r.RequestURI)
	for name, values := range c.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	if size > c.Settings.MaxHeaderBytes {
		return refused(code.HeadersTooLarge)
	}
	if c.r.Method == http.MethodConnect || !strings.HasPrefix(c.r.URL.Path, "/") || c.r.Host == "" {
		return refused(code.MalformedRequest)
	}
	return nil
}

// setDeadline uses the earlier of the rule's and the caller's deadline.
func (c *call) setDeadline() {
	now := c.Now()
	timeout := c.rule.Deadline
	remaining, ok := c.Protocol.RemainingTime(c.r.Header)
	if ok {
		timeout = min(timeout, remaining)
	}
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), now.Add(timeout))
	c.request = request.Request{
		Rule:     &c.rule,
		Caller:   c.caller(),
		Arrived:  now,
		Deadline: now.Add(timeout),
		TimeLeft: remaining,
		Attempt:  c.Protocol.Retries(c.r.Header),
	}
}

// caller returns the caller's key for fair queueing: its identity, or else its address.
func (c *call) caller() string {
	if id := c.identity(); id != "" {
		return id
	}
	return relay.CallerAddress(c.r.Header, c.origin)
}

// identity returns the caller's identity for claims, or "". The address is not used, since it can change between a
// send and its repetition.
func (c *call) identity() string {
	if c.Settings.CallerIdentityHeader == "" {
		return ""
	}
	return c.r.Header.Get(c.Settings.CallerIdentityHeader)
}

func (c *call) readKey() *refusal.Refusal {
	if c.rule.Idempotent {
		return nil
	}
	values := c.r.Header.Values(c.rule.KeyHeader)
	if len(values) == 0 {
		if c.rule.KeyRequired {
			return refused(code.KeyMissing)
		}
		return nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyLength || !printable(values[0]) {
		return refused(code.KeyMalformed)
	}
	c.key = values[0]
	return nil
}

// computeFingerprint returns the hash that identifies the request in quarantine. It covers what stays the same when a
// caller sends the request again: its identity, method, URI, the host if the rule has one, and the body if that is
// buffered completely. The address of the connection, the host name of an entry, the idempotency key and the service of
// a traffic split can change.
func (c *call) computeFingerprint() quarantine.Fingerprint {
	hash := sha256.New()
	write := func(text string) {
		_, _ = hash.Write([]byte(text))
		_, _ = hash.Write([]byte{0})
	}
	write(c.identity())
	write(c.r.Method)
	write(c.rule.Host)
	write(c.uri())
	if c.body.rest == nil {
		_, _ = hash.Write(c.body.prefix)
	}
	return quarantine.Fingerprint(hash.Sum(nil)[:16])
}

// contentHash returns a hash of method, URI and body, to tell a repetition from another request under the same key.
func (c *call) contentHash() []byte {
	hash := sha256.New()
	_, _ = hash.Write([]byte(c.r.Method + "\x00" + c.uri() + "\x00"))
	_, _ = hash.Write(c.body.prefix)
	return hash.Sum(nil)
}

// buffersBody reports whether the body is read before the request is sent. The body of a short request without a
// Content-Length is read up to maxShortBufferedBody, and its rest is streamed.
func (c *call) buffersBody() bool {
	if c.atMostOnce() && c.key != "" {
		return true
	}
	if c.rule.Class == rule.Long {
		return c.r.ContentLength >= 0 && c.r.ContentLength <= maxLongBufferedBody
	}
	return c.r.ContentLength <= maxShortBufferedBody
}
