package settings

import (
	"net/netip"
	"time"
)

// Settings is the content of an entry's settings file. docs/CONFIGURATION.md explains each field.
type Settings struct {
	Name             string
	DataCentre       string
	LogLevel         string
	AssertInvariants bool
	Picker           string
	OracleURL        string // control address of the stand-in targets, for the oracle picker only
	Choices          int    // number of targets that the power-of-d picker compares

	CallerAddress        netip.AddrPort
	CallerTLS            TLS
	CallerIdentityHeader string // name of the header that identifies the caller, set by the platform's balancer
	TrustedBalancers     []netip.Prefix
	MaxConnections       int
	MaxHeaderBytes       int
	MaxBufferedBytes     int64 // complete bodies of requests and answers
	MaxTransferBytes     int64 // copy buffers and sockets of requests that are sent to targets
	HeaderTimeout        time.Duration
	BodyTimeout          time.Duration
	IdleTimeout          time.Duration
	ResponseWriteTimeout time.Duration

	OperatorAddress netip.AddrPort
	OperatorTLS     TLS
	TokenFile       string

	PeerAddress netip.AddrPort
	PeerTLS     TLS

	TableURL        string
	ObjectsURL      string
	VMsURL          string
	PlatformTimeout time.Duration
	PollInterval    time.Duration

	DrainGrace   time.Duration
	DrainTimeout time.Duration
}

// TLS names the files of a key pair and of the authorities that sign client certificates. All empty means no TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
	ClientCAFile    string
}

// Enabled reports whether TLS is on.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Mutual reports whether clients must present a certificate.
func (t TLS) Mutual() bool {
	return t.ClientCAFile != ""
}
