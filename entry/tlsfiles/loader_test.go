package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"poplarworks/entry/settings"
)

// authority signs certificates for a test.
type authority struct {
	t           *testing.T
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, folder: t.TempDir()}
	a.key, a.certificate = a.sign("authority", nil)
	return a
}

func (a *authority) sign(name string, parent *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	signer := a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, certificate
}

func (a *authority) write(file, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.folder, file)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// files writes a key pair and the authority's certificate.
func (a *authority) files(name string) settings.TLS {
	a.t.Helper()
	key, certificate := a.sign(name, a.certificate)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return settings.TLS{
		CertificateFile: a.write(name+".crt", "CERTIFICATE", certificate.Raw),
		KeyFile:         a.write(name+".key", "EC PRIVATE KEY", der),
		ClientCAFile:    a.write("ca.crt", "CERTIFICATE", a.certificate.Raw),
	}
}

// handshake performs a TLS handshake and returns the name in the server's certificate.
func handshake(t *testing.T, server *tls.Config, client *tls.Config) (string, error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	socket, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for _, side := range []net.Conn{socket, accepted} {
		_ = side.SetDeadline(time.Now().Add(5 * time.Second))
	}
	failed := make(chan error, 1)
	go func() { failed <- tls.Server(accepted, server).HandshakeContext(t.Context()) }()
	side := tls.Client(socket, client)
	if err := side.HandshakeContext(t.Context()); err != nil {
		return "", err
	}
	// With TLS 1.3 only the server knows whether the client's certificate was accepted.
	if err := <-failed; err != nil {
		return "", err
	}
	return side.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestBothSidesMustPresentCertificates(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server := (&Loader{Files: a.files("entry-1")}).Server()
	client := func(files settings.TLS) *tls.Config {
		config, err := (&Loader{Files: files}).Client("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	without := client(a.files("entry-2"))
	without.Certificates = nil
	scenarios := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"a peer of the same authority", client(a.files("entry-2")), true},
		{"a peer of another authority", client(other.files("entry-2")), false},
		{"a peer without a certificate", without, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if _, err := handshake(t, server, s.client); (err == nil) != s.ok {
				t.Errorf("got %v, want success %t", err, s.ok)
			}
		})
	}
}

func TestReplacedFilesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	files := a.files("entry-1")
	loader := &Loader{Files: files}
	if err := loader.Check(); err != nil {
		t.Fatal(err)
	}
	client, err := (&Loader{Files: a.files("entry-2")}).Client("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	newer := a.files("entry-1b")
	for from, to := range map[string]string{newer.CertificateFile: files.CertificateFile, newer.KeyFile: files.KeyFile} {
		if err := os.Rename(from, to); err != nil {
			t.Fatal(err)
		}
		later := time.Now().Add(time.Minute)
		if err := os.Chtimes(to, later, later); err != nil {
			t.Fatal(err)
		}
	}
	loader.checkedAt = time.Time{}
	if got, err := handshake(t, loader.Server(), client); err != nil || got != "entry-1b" {
		t.Errorf("got %q (%v), want the certificate that replaced the first", got, err)
	}
	if err := os.WriteFile(files.KeyFile, []byte("half a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	loader.checkedAt = time.Time{}
	if got, err := handshake(t, loader.Server(), client); err != nil || got != "entry-1b" {
		t.Errorf("got %q (%v) while a file is broken, want the last valid certificate", got, err)
	}
}
