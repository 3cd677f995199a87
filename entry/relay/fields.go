package relay

import (
	"net/http"
	"net/netip"
	"strings"
)

// Header names of the system.
const (
	DeadlineHeader  = "Poplar-Deadline-Ms"
	AttemptHeader   = "Poplar-Attempt"
	CodeHeader      = "Poplar-Code"
	RunHeader       = "Poplar-Run"
	SendHeader      = "Poplar-This-Send"
	EntryHeader     = "Poplar-Entry"
	ReplayHeader    = "Poplar-Replayed"
	RequestIDHeader = "X-Request-Id"
)

func hopByHop() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// Copy returns the fields that go beyond this hop.
func Copy(from http.Header) http.Header {
	to := from.Clone()
	if to == nil {
		return http.Header{}
	}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop() {
		to.Del(name)
	}
	return to
}

// Origin is what is known of the caller's connection.
type Origin struct {
	Remote  netip.Addr
	Local   netip.AddrPort
	Secure  bool
	Trusted bool // the remote is a balancer of the platform, whose word on forwarding counts
}

// Forward sets the fields that tell the target who called; what an untrusted remote says of it is dropped.
func Forward(fields http.Header, host string, o Origin) {
	if !o.Trusted {
		for _, name := range []string{"X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded"} {
			fields.Del(name)
		}
	}
	scheme := "http"
	if o.Secure {
		scheme = "https"
	}
	extend(fields, "X-Forwarded-For", o.Remote.String())
	if fields.Get("X-Forwarded-Proto") == "" {
		fields.Set("X-Forwarded-Proto", scheme)
	}
	if fields.Get("X-Forwarded-Host") == "" {
		fields.Set("X-Forwarded-Host", host)
	}
	extend(fields, "Forwarded", "for="+quoteNode(o.Remote)+`;host="`+host+`";proto=`+scheme)
}

func extend(fields http.Header, name, value string) {
	if held := fields.Values(name); len(held) > 0 {
		value = strings.Join(held, ", ") + ", " + value
	}
	fields.Set(name, value)
}

// quoteNode writes an address as RFC 7239 asks.
func quoteNode(address netip.Addr) string {
	if address.Is6() && !address.Is4In6() {
		return `"[` + address.String() + `]"`
	}
	return address.Unmap().String()
}

// Caller returns the address of the first client that a trusted balancer names, or the remote.
func Caller(fields http.Header, o Origin) string {
	if o.Trusted {
		first, _, _ := strings.Cut(fields.Get("X-Forwarded-For"), ",")
		if first = strings.TrimSpace(first); first != "" {
			return first
		}
	}
	return o.Remote.String()
}
