// Package tlsconf creates TLS configurations from the certificate files in the settings and reloads
// certificates when their files change.
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

// checkInterval is the shortest time between two checks of a certificate file for changes.
const checkInterval = 5 * time.Second

// KeyPair is a certificate with its private key, reloaded when the certificate file changes. It is
// safe for concurrent use.
type KeyPair struct {
	certFile, keyFile string

	mu   sync.Mutex
	cert *tls.Certificate
	// checked is the time of the last check of the certificate file.
	checked time.Time
	// changed is the modification time of the certificate file that cert was read from.
	changed time.Time
}

// LoadKeyPair reads a PEM certificate and its private key.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile}
	_, err := p.Certificate()
	return p, err
}

// Certificate returns the certificate. It first reloads the files if the certificate file has
// changed, at most once per checkInterval. If the files cannot be read, it returns the last
// certificate read.
func (p *KeyPair) Certificate() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.cert != nil && now.Sub(p.checked) < checkInterval {
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
		return nil, fmt.Errorf("load certificate %s with key %s: %w", p.certFile, p.keyFile, err)
	}
	p.cert, p.changed = &cert, info.ModTime()
	return p.cert, nil
}

// loadCAs reads a PEM file of CA certificates.
func loadCAs(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	cas := x509.NewCertPool()
	if !cas.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load CA certificates from %s: no PEM certificate found", file)
	}
	return cas, nil
}

// ServerConfig returns the configuration of servers for callers, or nil for plain TCP if no
// certificate is set.
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

// PeerConfigs returns the configurations for connections between agents, or nil for plain TCP if no
// peer CA is set. Server and client each require a certificate of this CA from the other side.
func PeerConfigs(s settings.TLS) (server, client *tls.Config, err error) {
	if s.PeerCAFile == "" {
		return nil, nil, nil
	}
	cas, err := loadCAs(s.PeerCAFile)
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

// UpstreamConfig returns the configuration of connections to upstreams, or nil for plain TCP if no
// upstream CA is set.
func UpstreamConfig(s settings.TLS) (*tls.Config, error) {
	if s.UpstreamCAFile == "" {
		return nil, nil
	}
	cas, err := loadCAs(s.UpstreamCAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: cas}, nil
}
