package node

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"
)

// CertificateFiles names the PEM files of mutual TLS between nodes.
type CertificateFiles struct {
	// Authority holds the certificates of the deployment authority. During a
	// change of authority it holds the old and the new one.
	Authority   string
	Certificate string
	PrivateKey  string
}

// Certificates holds the current contents of the TLS files. New connections use
// the contents of the last successful Reload.
type Certificates struct {
	files   CertificateFiles
	current atomic.Pointer[certificateState]
}

type certificateState struct {
	source      [3][]byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadCertificates reads the files for the first time.
func LoadCertificates(files CertificateFiles) (*Certificates, error) {
	c := &Certificates{files: files}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and reports whether they changed. If they cannot be
// used, the previous contents stay in force: files are replaced one after the
// other, so a certificate and a key that do not match can be seen for a moment.
func (c *Certificates) Reload() (bool, error) {
	next := new(certificateState)
	for i, path := range []string{c.files.Authority, c.files.Certificate, c.files.PrivateKey} {
		content, err := os.ReadFile(path)
		if err != nil {
			return false, newError(CodeCertificates).Wrapf(err, "read TLS file")
		}
		next.source[i] = content
	}
	old := c.current.Load()
	if old != nil && bytes.Equal(old.source[0], next.source[0]) && bytes.Equal(old.source[1], next.source[1]) && bytes.Equal(old.source[2], next.source[2]) {
		return false, nil
	}
	next.authority = x509.NewCertPool()
	if !next.authority.AppendCertsFromPEM(next.source[0]) {
		return false, newError(CodeCertificates).Errorf("%s holds no certificate", c.files.Authority)
	}
	var err error
	if next.certificate, err = tls.X509KeyPair(next.source[1], next.source[2]); err != nil {
		return false, newError(CodeCertificates).Wrapf(err, "use %s with %s", c.files.Certificate, c.files.PrivateKey)
	}
	c.current.Store(next)
	return true, nil
}

// Watch reloads the files at each interval until ctx is done. It calls report
// after a change and after a failure.
func (c *Certificates) Watch(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if changed, err := c.Reload(); changed || err != nil {
				report(err)
			}
		}
	}
}

// serverConfig returns the TLS settings of the server. Session tickets are off
// so that every connection is checked against the present authority.
func (c *Certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			state := c.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{"h2"},
				Certificates:           []tls.Certificate{state.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              state.authority,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS settings of one connection to a server. The
// server's certificate must be valid for the IP number that was dialled.
func (c *Certificates) clientConfig() *tls.Config {
	state := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{state.certificate},
		RootCAs:      state.authority,
	}
}

// handshakeMark is the text in gRPC errors by which a refused certificate is
// recognised.
const handshakeMark = "certificate refused"

// clientCredentials makes each handshake with the certificates of that moment.
type clientCredentials struct {
	credentials.TransportCredentials
	certificates *Certificates
}

func newClientCredentials(c *Certificates) credentials.TransportCredentials {
	return &clientCredentials{credentials.NewTLS(c.clientConfig()), c}
}

func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return newClientCredentials(c.certificates)
}

// ClientHandshake implements credentials.TransportCredentials. It waits for the
// server's first byte, its HTTP/2 settings: with TLS 1.3 a client learns only
// from what follows the handshake that its certificate was refused, and a write
// before that can break the connection and lose the reason.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := credentials.NewTLS(c.certificates.clientConfig()).ClientHandshake(ctx, authority, raw)
	if err != nil {
		return nil, nil, markRefusal(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	peeked := &peekedConn{Conn: conn}
	if _, err := conn.Read(peeked.first[:]); err != nil {
		_ = conn.Close()
		return nil, nil, markRefusal(err)
	}
	return peeked, info, nil
}

// peekedConn returns the byte that was read ahead before all others. One
// goroutine reads it.
type peekedConn struct {
	net.Conn
	first     [1]byte
	delivered bool
}

func (c *peekedConn) Read(p []byte) (int, error) {
	if !c.delivered && len(p) > 0 {
		c.delivered = true
		p[0] = c.first[0]
		return 1, nil
	}
	return c.Conn.Read(p)
}

func markRefusal(err error) error {
	var op *net.OpError
	var verification *tls.CertificateVerificationError
	if errors.As(err, &verification) || errors.As(err, &op) && op.Op == "remote error" {
		return &refusal{err}
	}
	return err
}

type refusal struct{ cause error }

func (r *refusal) Error() string { return handshakeMark + ": " + r.cause.Error() }
func (r *refusal) Unwrap() error { return r.cause }
