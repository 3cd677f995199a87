package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/entry/settings"
)

const checkInterval = 5 * time.Second

// Loader reads a key pair and the certificates of the authorities. It reads them again when a file has changed.
type Loader struct {
	Files settings.TLS

	mu          sync.Mutex
	checkedAt   time.Time
	modTime     time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Check reads the files once, so that errors are found at startup.
func (l *Loader) Check() error {
	_, _, err := l.load()
	return err
}

// Server returns the configuration for a listener.
func (l *Loader) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities, err := l.load()
			if err != nil {
				return nil, err
			}
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*certificate},
			}
			if authorities != nil {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, authorities
			}
			return config, nil
		},
	}
}

// Client returns the configuration for a connection to a peer. Both sides present certificates of the same
// authorities.
func (l *Loader) Client(serverName string) (*tls.Config, error) {
	certificate, authorities, err := l.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authorities,
		ServerName:   serverName,
	}, nil
}

func (l *Loader) load() (*tls.Certificate, *x509.CertPool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.certificate != nil && time.Since(l.checkedAt) < checkInterval {
		return l.certificate, l.authorities, nil
	}
	l.checkedAt = time.Now()
	changed, err := l.latestModTime()
	if err == nil && l.certificate != nil && !changed.After(l.modTime) {
		return l.certificate, l.authorities, nil
	}
	certificate, authorities, err := l.read()
	if err != nil {
		// The previous files stay in use while new ones are being written and cannot be read yet.
		if l.certificate != nil {
			return l.certificate, l.authorities, nil
		}
		return nil, nil, err
	}
	l.certificate, l.authorities, l.modTime = certificate, authorities, changed
	return certificate, authorities, nil
}

func (l *Loader) latestModTime() (time.Time, error) {
	var latest time.Time
	for _, file := range []string{l.Files.CertificateFile, l.Files.KeyFile, l.Files.ClientCAFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (l *Loader) read() (*tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(l.Files.CertificateFile, l.Files.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "key pair")
	}
	if l.Files.ClientCAFile == "" {
		return &certificate, nil, nil
	}
	data, err := os.ReadFile(l.Files.ClientCAFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, nil, errors.Newf("authorities: no certificate in %s", l.Files.ClientCAFile)
	}
	return &certificate, authorities, nil
}
