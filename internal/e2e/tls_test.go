//go:build linux

package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"path/filepath"
	"testing"
	"time"
)

// certificateAuthority issues the certificates of a deployment's nodes.
type certificateAuthority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// securitySettings returns the settings that secure a node's connections to other
// nodes, and writes the key and certificate files to which they refer.
func (d *deployment) securitySettings(n *nodeProcess) string {
	if !d.opt.tls {
		return "insecure = true"
	}
	if d.authority == nil {
		d.authority = d.newCertificateAuthority()
	}
	host, _, err := net.SplitHostPort(n.nodeAddress)
	if err != nil {
		d.t.Fatal(err)
	}
	template := certificateTemplate(n.id)
	template.IPAddresses = []net.IP{net.ParseIP(host)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, der := d.createCertificate(template, d.authority.certificate, d.authority.key)
	d.writeFile(n.id+".pem", pemBlock("CERTIFICATE", der))
	d.writeFile(n.id+".key", pemBlock("PRIVATE KEY", d.marshalKey(key)))
	return fmt.Sprintf("ca_file = %q\ncertificate_file = %q\nprivate_key_file = %q",
		filepath.Join(d.dir, "ca.pem"), filepath.Join(d.dir, n.id+".pem"), filepath.Join(d.dir, n.id+".key"))
}

func (d *deployment) newCertificateAuthority() *certificateAuthority {
	template := certificateTemplate("deployment authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	key, der := d.createCertificate(template, template, nil)
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		d.t.Fatal(err)
	}
	d.writeFile("ca.pem", pemBlock("CERTIFICATE", der))
	return &certificateAuthority{certificate, key}
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// createCertificate generates a key and a certificate for it, signed by signer. A
// nil signer makes the certificate self-signed. Returns the key and the
// DER-encoded certificate.
func (d *deployment) createCertificate(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		d.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		d.t.Fatal(err)
	}
	return key, der
}

func (d *deployment) marshalKey(key *ecdsa.PrivateKey) []byte {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		d.t.Fatal(err)
	}
	return der
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Guards against a deployment with mutual TLS in which contracts, heartbeats or
// copies are not exchanged between nodes: an answer must survive the loss of its
// node and its engine.
func TestNodesWithTLS(t *testing.T) {
	t.Parallel()
	d := deploy(t, options{engines: 3, noService: true, tls: true})
	a := d.startAnswers(4, 120, d.nodes[0])
	a.awaitTokens(d, 20)
	d.nodes[0].kill(t)
	d.busyEngine(d.engines...).kill(t)
	requireResumeBound(t, a.requireComplete(t))
}
