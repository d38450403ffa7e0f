package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "deployment"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.key, a.pem = a.sign(template, template, nil)
	block, _ := pem.Decode(a.pem)
	a.cert, _ = x509.ParseCertificate(block.Bytes)
	return a
}

func (a *authority) sign(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// issue writes the TLS files of a node to dir. The node's certificate expires at
// notAfter, and its peers are verified against trusted.
func (a *authority) issue(dir string, notAfter time.Time, trusted *authority) CertificateFiles {
	a.t.Helper()
	key, cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "n1"},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := CertificateFiles{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
	for path, content := range map[string][]byte{
		files.Authority:   trusted.pem,
		files.Certificate: cert,
		files.PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
	} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return files
}

func (a *authority) load(notAfter time.Time, trusted *authority) *Certificates {
	a.t.Helper()
	c, err := LoadCertificates(a.issue(a.t.TempDir(), notAfter, trusted))
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

// Guards against connections to or from a peer without a valid certificate of
// the deployment's CA.
func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	anonymous := trusted.load(valid, trusted)
	anonymous.current.Store(&certificateState{authority: anonymous.current.Load().authority})
	tests := map[string]struct {
		server, client *Certificates
		want           Code
	}{
		"accepted":                   {trusted.load(valid, trusted), trusted.load(valid, trusted), ""},
		"client in plaintext":        {trusted.load(valid, trusted), nil, CodeUnreachable},
		"client without certificate": {trusted.load(valid, trusted), anonymous, CodeUntrusted},
		"client of another CA":       {trusted.load(valid, trusted), untrusted.load(valid, trusted), CodeUntrusted},
		"client expired":             {trusted.load(valid, trusted), trusted.load(expired, trusted), CodeUntrusted},
		"server of another CA":       {untrusted.load(valid, trusted), trusted.load(valid, trusted), CodeUntrusted},
		"server expired":             {trusted.load(expired, trusted), trusted.load(valid, trusted), CodeUntrusted},
		"server in plaintext":        {nil, trusted.load(valid, trusted), CodeUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := connect(t, serve(t, &echoHandler{}, test.server), PoolOptions{Certificates: test.client})
			_, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender})
			if CodeOf(err) != test.want || (test.want == "") != (err == nil) {
				t.Fatalf("heartbeat returned %v, want code %q", err, test.want)
			}
		})
	}
}

// Guards against a CA rotation that takes effect only after a restart, and
// against invalid files replacing valid ones.
func TestReload(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	valid := time.Now().Add(time.Hour)
	dir := t.TempDir()
	files := oldCA.issue(dir, valid, oldCA)
	certificates, err := LoadCertificates(files)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, &echoHandler{}, certificates)
	heartbeat := func(c *Certificates) error {
		pool := NewPool(PoolOptions{Certificates: c})
		defer pool.Close()
		client, _ := pool.Client(address)
		_, err := client.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender})
		return err
	}
	if err := os.WriteFile(files.PrivateKey, []byte("garbage"), 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := certificates.Reload(); changed || CodeOf(err) != CodeCertificates {
		t.Fatalf("reload of an invalid key returned %v, %v", changed, err)
	}
	if err := heartbeat(oldCA.load(valid, oldCA)); err != nil {
		t.Fatalf("heartbeat after the failed reload: %v", err)
	}
	newCA.issue(dir, valid, newCA)
	if changed, err := certificates.Reload(); !changed || err != nil {
		t.Fatalf("reload returned %v, %v", changed, err)
	}
	if err := heartbeat(newCA.load(valid, newCA)); err != nil {
		t.Fatalf("heartbeat after the CA rotation: %v", err)
	}
	if err := heartbeat(oldCA.load(valid, oldCA)); CodeOf(err) != CodeUntrusted {
		t.Fatalf("heartbeat with a certificate of the old CA: %v", err)
	}
}
