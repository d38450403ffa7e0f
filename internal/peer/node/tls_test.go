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

// authority issues certificates in a test.
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

// issue writes the TLS files of a node whose certificate ends at notAfter. Its
// peers are checked against trusted.
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

// Only peers with a valid certificate of the deployment authority may call or
// be called.
func TestMutualTLS(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	anonymous := ours.load(valid, ours)
	anonymous.current.Store(&certificateState{authority: anonymous.current.Load().authority})
	tests := map[string]struct {
		server, client *Certificates
		want           Code
	}{
		"accepted":                    {ours.load(valid, ours), ours.load(valid, ours), ""},
		"client in plaintext":         {ours.load(valid, ours), nil, CodeUnreachable},
		"client without certificate":  {ours.load(valid, ours), anonymous, CodeUntrusted},
		"client of foreign authority": {ours.load(valid, ours), foreign.load(valid, ours), CodeUntrusted},
		"client expired":              {ours.load(valid, ours), ours.load(expired, ours), CodeUntrusted},
		"server of foreign authority": {foreign.load(valid, ours), ours.load(valid, ours), CodeUntrusted},
		"server expired":              {ours.load(expired, ours), ours.load(valid, ours), CodeUntrusted},
		"server in plaintext":         {nil, ours.load(valid, ours), CodeUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := connect(t, serve(t, &echo{}, test.server), PoolOptions{Certificates: test.client})
			_, err := c.Heartbeat(t.Context(), &nodepb.HeartbeatRequest{Sender: sender})
			if CodeOf(err) != test.want || (test.want == "") != (err == nil) {
				t.Fatalf("heartbeat returned %v, want code %q", err, test.want)
			}
		})
	}
}

// A change of authority must take effect for new connections without a restart,
// and unusable files must not replace usable ones.
func TestReload(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	valid := time.Now().Add(time.Hour)
	dir := t.TempDir()
	files := before.issue(dir, valid, before)
	certificates, err := LoadCertificates(files)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, &echo{}, certificates)
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
		t.Fatalf("reload of an unusable key returned %v, %v", changed, err)
	}
	if err := heartbeat(before.load(valid, before)); err != nil {
		t.Fatalf("after an unusable file: %v", err)
	}
	after.issue(dir, valid, after)
	if changed, err := certificates.Reload(); !changed || err != nil {
		t.Fatalf("reload returned %v, %v", changed, err)
	}
	if err := heartbeat(after.load(valid, after)); err != nil {
		t.Fatalf("after the change: %v", err)
	}
	if err := heartbeat(before.load(valid, before)); CodeOf(err) != CodeUntrusted {
		t.Fatalf("peer of the old authority: %v", err)
	}
}
