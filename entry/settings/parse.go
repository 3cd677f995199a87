package settings

import (
	"net/netip"
	"net/url"
	"time"

	"poplarworks/core/jsonc"
)

const (
	maxDuration = 24 * time.Hour
	maxBytes    = 1 << 40

	defaultMaxTransferBytes = 64 << 20
)

// Parse parses a settings file. The error names the file, line and field of every problem.
func Parse(file string, text []byte) (Settings, error) {
	obj, err := jsonc.Parse(file, text)
	if err != nil {
		return Settings{}, err
	}
	s := Read(obj)
	return s, obj.Err()
}

// Read reads the settings from an object and records the problems in it.
func Read(obj *jsonc.Object) Settings {
	s := Settings{
		Name:             obj.Required("name"),
		DataCentre:       obj.Required("data-centre"),
		LogLevel:         obj.OneOf("log-level", "info", "debug", "warning", "error"),
		AssertInvariants: obj.Bool("assert-invariants", false),
		Picker:           obj.OneOf("picker", "power-of-d", "round-robin", "random", "least-of-two", "oracle"),
		Choices:          obj.Int("choices", 3, 1, 64),
		OracleURL:        readURL(obj, "oracle-url"),
		MaxTransferBytes: defaultMaxTransferBytes,
	}
	ReadCallers(&s, obj)
	readOperators(&s, obj)
	readPeers(&s, obj)
	readPlatform(&s, obj)
	drain := obj.Object("drain")
	s.DrainGrace = drain.Duration("grace", 5*time.Second, 0, maxDuration)
	s.DrainTimeout = drain.Duration("timeout", 10*time.Minute, 0, maxDuration)
	drain.Close()
	if s.Picker == "oracle" && s.OracleURL == "" {
		obj.Problem("oracle-url", "expected a URL, since the picker is the oracle")
	}
	obj.Close()
	return s
}

// ReadCallers reads the settings for callers. The default of MaxTransferBytes must be set before.
func ReadCallers(s *Settings, obj *jsonc.Object) {
	callers := obj.Object("callers")
	s.CallerAddress = ReadAddress(callers, "address")
	s.CallerTLS = readTLS(callers)
	s.CallerIdentityHeader = callers.String("identity-header", "")
	s.TrustedBalancers = readPrefixes(callers, "trusted-balancers")
	s.MaxConnections = callers.Int("max-connections", 10_000, 1, 10_000_000)
	s.MaxHeaderBytes = callers.Int("max-header-bytes", 32<<10, 1<<10, 1<<20)
	s.MaxBufferedBytes = int64(callers.Int("max-buffered-bytes", 64<<20, 1<<20, maxBytes))
	s.MaxTransferBytes = int64(callers.Int("max-transfer-bytes", int(s.MaxTransferBytes), 1<<20, maxBytes))
	s.HeaderTimeout = callers.Duration("header-timeout", 10*time.Second, time.Millisecond, maxDuration)
	s.BodyTimeout = callers.Duration("body-timeout", 30*time.Second, time.Millisecond, maxDuration)
	s.IdleTimeout = callers.Duration("idle-timeout", 2*time.Minute, time.Second, maxDuration)
	s.ResponseWriteTimeout = callers.Duration("write-timeout", 30*time.Second, time.Second, maxDuration)
	callers.Close()
}

func readOperators(s *Settings, obj *jsonc.Object) {
	operators := obj.Object("operators")
	s.OperatorAddress = ReadAddress(operators, "address")
	s.OperatorTLS = readTLS(operators)
	s.TokenFile = operators.String("token-file", "")
	if s.OperatorAddress.IsValid() && !s.OperatorAddress.Addr().IsLoopback() && s.TokenFile == "" && !s.OperatorTLS.Mutual() {
		operators.Problem("token-file", "expected a token file or client-ca-file, since the address is not loopback")
	}
	operators.Close()
}

func readPeers(s *Settings, obj *jsonc.Object) {
	peers := obj.Object("peers")
	s.PeerAddress = ReadAddress(peers, "address")
	s.PeerTLS = readTLS(peers)
	if s.PeerAddress.IsValid() && !s.PeerAddress.Addr().IsLoopback() && !s.PeerTLS.Mutual() {
		peers.Problem("tls", "expected client-ca-file, since the address is not loopback")
	}
	peers.Close()
}

func readPlatform(s *Settings, obj *jsonc.Object) {
	platform := obj.Object("platform")
	s.TableURL = requireURL(platform, "table-url")
	s.ObjectsURL = requireURL(platform, "objects-url")
	s.VMsURL = requireURL(platform, "vms-url")
	s.PlatformTimeout = platform.Duration("timeout", 500*time.Millisecond, time.Millisecond, time.Minute)
	s.PollInterval = platform.Duration("poll-interval", time.Second, 10*time.Millisecond, time.Minute)
	platform.Close()
}

// ReadAddress reads a required address.
func ReadAddress(obj *jsonc.Object, name string) netip.AddrPort {
	address := obj.AddrPort(name)
	if !obj.Has(name) {
		obj.Problem(name, `expected an IP address with a port such as "127.0.0.1:8080"`)
	}
	return address
}

func readPrefixes(obj *jsonc.Object, name string) []netip.Prefix {
	var prefixes []netip.Prefix
	for _, text := range obj.Strings(name) {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			obj.Problem(name, `expected networks such as "10.0.0.0/8"`)
			continue
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

func readTLS(obj *jsonc.Object) TLS {
	part := obj.Object("tls")
	t := TLS{
		CertificateFile: part.String("certificate-file", ""),
		KeyFile:         part.String("key-file", ""),
		ClientCAFile:    part.String("client-ca-file", ""),
	}
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		part.Problem("key-file", "expected both certificate-file and key-file")
	}
	if t.Mutual() && !t.Enabled() {
		part.Problem("client-ca-file", "expected certificate-file as well")
	}
	part.Close()
	return t
}

func requireURL(obj *jsonc.Object, name string) string {
	if !obj.Has(name) {
		obj.Problem(name, `expected a URL such as "http://127.0.0.1:7000"`)
	}
	return readURL(obj, name)
}

func readURL(obj *jsonc.Object, name string) string {
	text := obj.String(name, "")
	if text == "" {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		obj.Problem(name, `expected a URL such as "http://127.0.0.1:7000"`)
	}
	return text
}
