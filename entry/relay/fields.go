package relay

import (
	"net/http"
	"net/netip"
	"strings"
)

// Header fields that callers, entries and targets exchange.
const (
	DeadlineHeader  = "Poplar-Deadline-Ms"
	AttemptHeader   = "Poplar-Attempt"
	CodeHeader      = "Poplar-Code"
	ExecutionHeader = "Poplar-Run"
	ThisSendHeader  = "Poplar-This-Send"
	EntryHeader     = "Poplar-Entry"
	ReplayedHeader  = "Poplar-Replayed"
	RequestIDHeader = "X-Request-Id"
)

// hopByHop returns the fields that apply to a single connection and must not be forwarded.
func hopByHop() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// Copy returns a copy of the fields without those that apply to this hop only, including the ones named by Connection.
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

// Origin describes the caller's connection.
type Origin struct {
	Remote  netip.Addr
	Local   netip.AddrPort
	Secure  bool
	Trusted bool // whether the remote is a balancer of the platform, whose forwarding fields are accepted
}

// Forward adds the remote to the forwarding fields, which tell the target who the caller is. Forwarding fields from an
// untrusted remote are removed first.
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

// extend appends the value to the field's list.
func extend(fields http.Header, name, value string) {
	if existing := fields.Values(name); len(existing) > 0 {
		value = strings.Join(existing, ", ") + ", " + value
	}
	fields.Set(name, value)
}

// quoteNode formats an address as RFC 7239 requires: IPv6 in brackets and quotes.
func quoteNode(address netip.Addr) string {
	if address.Is6() && !address.Is4In6() {
		return `"[` + address.String() + `]"`
	}
	return address.Unmap().String()
}

// CallerAddress returns the address of the caller: the first one in X-Forwarded-For if the remote is trusted, or else
// the remote.
func CallerAddress(fields http.Header, o Origin) string {
	if o.Trusted {
		first, _, _ := strings.Cut(fields.Get("X-Forwarded-For"), ",")
		if first = strings.TrimSpace(first); first != "" {
			return first
		}
	}
	return o.Remote.String()
}
