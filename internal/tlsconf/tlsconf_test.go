package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/settings"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// newAuthority creates an authority and writes its certificate to a file in dir.
func newAuthority(t *testing.T, dir, name string) *authority {
	t.Helper()
	a := &authority{file: filepath.Join(dir, name+".pem")}
	der := a.sign(t, template(name, true), nil)
	var err error
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	write(t, a.file, "CERTIFICATE", der)
	return a
}

// template returns a certificate for 127.0.0.1 to be signed, valid for the next hour.
func template(name string, ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// sign generates a key and a certificate for it. The certificate is signed by the authority, or
// self-signed if the authority has no certificate yet. It returns the certificate in DER form and
// stores the key in DER form in keyDER, unless keyDER is nil.
func (a *authority) sign(t *testing.T, c *x509.Certificate, keyDER *[]byte) []byte {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		a.key = key
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	if keyDER != nil {
		if *keyDER, err = x509.MarshalECPrivateKey(key); err != nil {
			t.Fatal(err)
		}
	}
	return der
}

// instance writes a certificate with its key and returns the settings.
func (a *authority) instance(t *testing.T, dir, name string) settings.TLS {
	t.Helper()
	s := settings.TLS{CertFile: filepath.Join(dir, name+".crt"), KeyFile: filepath.Join(dir, name+".key"), PeerCAFile: a.file}
	var key []byte
	write(t, s.CertFile, "CERTIFICATE", a.sign(t, template(name, false), &key))
	write(t, s.KeyFile, "EC PRIVATE KEY", key)
	return s
}

// write writes a PEM file with one block.
func write(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// connects reports whether a client with one configuration receives data from a server with the
// other.
func connects(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "hello")
	}()
	c, err := tls.Dial("tcp", lis.Addr().String(), client)
	if err != nil {
		return false
	}
	defer c.Close()
	b, err := io.ReadAll(c)
	return err == nil && string(b) == "hello"
}

// TestPeerConfigs checks that a server accepts only clients with a certificate of its own CA.
func TestPeerConfigs(t *testing.T) {
	dir := t.TempDir()
	ours, other := newAuthority(t, dir, "ours"), newAuthority(t, dir, "theirs")
	server, _, err := PeerConfigs(ours.instance(t, dir, "n1"))
	if err != nil {
		t.Fatal(err)
	}
	_, trusted, err := PeerConfigs(ours.instance(t, dir, "n2"))
	if err != nil {
		t.Fatal(err)
	}
	_, untrusted, err := PeerConfigs(other.instance(t, dir, "x"))
	if err != nil {
		t.Fatal(err)
	}
	noCert := trusted.Clone()
	noCert.GetClientCertificate = nil
	mixed := untrusted.Clone()
	mixed.RootCAs = trusted.RootCAs
	for name, tt := range map[string]struct {
		client *tls.Config
		want   bool
	}{"certificate of the same CA": {trusted, true}, "another CA": {untrusted, false}, "no certificate": {noCert, false}, "certificate of another CA": {mixed, false}} {
		if got := connects(t, server, tt.client); got != tt.want {
			t.Errorf("client with %s: connected %v, want %v", name, got, tt.want)
		}
	}
}

// TestKeyPairReloadsFiles checks that a changed certificate is loaded after checkInterval, and that
// a file that cannot be parsed leaves the last certificate in use.
func TestKeyPairReloadsFiles(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t, dir, "ca")
	s := a.instance(t, dir, "n1")
	p, err := LoadKeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := p.Certificate()
	a.instance(t, dir, "n1")
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(s.CertFile, later, later); err != nil {
		t.Fatal(err)
	}
	if same, _ := p.Certificate(); same != first {
		t.Error("Certificate read the file again within checkInterval")
	}
	p.checked = time.Time{}
	second, err := p.Certificate()
	if err != nil || second == first {
		t.Errorf("Certificate did not return the new certificate, error %v", err)
	}
	if err := os.WriteFile(s.CertFile, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.checked = time.Time{}
	if got, err := p.Certificate(); err != nil || got != second {
		t.Errorf("Certificate did not return the last certificate after a failed reload, error %v", err)
	}
	if _, err := LoadKeyPair(s.CertFile, s.KeyFile); err == nil {
		t.Error("LoadKeyPair accepted a malformed certificate")
	}
}
