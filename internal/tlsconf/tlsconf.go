// Package tlsconf makes TLS configurations from certificate files and re-reads
// the files when they change.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/settings"
)

// checkEvery is how often the files are looked at.
const checkEvery = 5 * time.Second

// KeyPair is a certificate with its key that follows its files. It is safe for
// concurrent use.
type KeyPair struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	checked time.Time
	changed time.Time
}

// LoadKeyPair reads a certificate and its key.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile}
	_, err := p.Certificate()
	return p, err
}

// Certificate returns the newest certificate that could be read. A file that cannot be
// read leaves the last one in force.
func (p *KeyPair) Certificate() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.cert != nil && now.Sub(p.checked) < checkEvery {
		return p.cert, nil
	}
	p.checked = now
	info, err := os.Stat(p.certFile)
	if err == nil && p.cert != nil && info.ModTime().Equal(p.changed) {
		return p.cert, nil
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		if p.cert != nil {
			return p.cert, nil
		}
		return nil, fmt.Errorf("certificate %s with key %s: %w", p.certFile, p.keyFile, err)
	}
	p.cert, p.changed = &cert, info.ModTime()
	return p.cert, nil
}

func pool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	cas := x509.NewCertPool()
	if !cas.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: no certificate found, allowed are PEM files", file)
	}
	return cas, nil
}

// ServerConfig returns the configuration towards callers, or nil for plain TCP.
func ServerConfig(s settings.TLS) (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	p, err := LoadKeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate() },
	}, nil
}

// PeerConfigs returns the configurations between agents, for accepting and for
// dialling, or nil for plain TCP. Both sides must have a certificate of the
// authority.
func PeerConfigs(s settings.TLS) (server, client *tls.Config, err error) {
	if s.PeerCAFile == "" {
		return nil, nil, nil
	}
	cas, err := pool(s.PeerCAFile)
	if err != nil {
		return nil, nil, err
	}
	p, err := LoadKeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      cas,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate() },
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              cas,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Certificate() },
	}
	return server, client, nil
}

// UpstreamConfig returns the configuration towards upstreams, or nil for plain TCP.
func UpstreamConfig(s settings.TLS) (*tls.Config, error) {
	if s.UpstreamCAFile == "" {
		return nil, nil
	}
	cas, err := pool(s.UpstreamCAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: cas}, nil
}
