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
	// Authority is the file with the CA certificates of the deployment. During a
	// CA rotation it holds the old and the new certificate.
	Authority   string
	Certificate string
	PrivateKey  string
}

// Certificates holds the contents of the TLS files as of the last successful
// Reload. New connections use them.
type Certificates struct {
	files   CertificateFiles
	current atomic.Pointer[certificateState]
}

type certificateState struct {
	contents    [3][]byte
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadCertificates returns the certificates in files.
func LoadCertificates(files CertificateFiles) (*Certificates, error) {
	c := &Certificates{files: files}
	if _, err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again and reports whether they changed. If they are not
// usable, the previous contents stay in use: files are replaced one after the
// other, so a certificate and a key that do not match may be seen briefly.
func (c *Certificates) Reload() (bool, error) {
	next := new(certificateState)
	for i, path := range []string{c.files.Authority, c.files.Certificate, c.files.PrivateKey} {
		content, err := os.ReadFile(path)
		if err != nil {
			return false, newError(CodeCertificates).Wrapf(err, "read TLS file")
		}
		next.contents[i] = content
	}
	old := c.current.Load()
	if old != nil && bytes.Equal(old.contents[0], next.contents[0]) && bytes.Equal(old.contents[1], next.contents[1]) && bytes.Equal(old.contents[2], next.contents[2]) {
		return false, nil
	}
	next.authority = x509.NewCertPool()
	if !next.authority.AppendCertsFromPEM(next.contents[0]) {
		return false, newError(CodeCertificates).Errorf("%s holds no certificate", c.files.Authority)
	}
	var err error
	if next.certificate, err = tls.X509KeyPair(next.contents[1], next.contents[2]); err != nil {
		return false, newError(CodeCertificates).Wrapf(err, "use %s with %s", c.files.Certificate, c.files.PrivateKey)
	}
	c.current.Store(next)
	return true, nil
}

// Watch calls Reload at each interval until ctx is done. It calls report with
// nil after a change and with the error after a failure.
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

// serverConfig returns the TLS configuration of the server. Session tickets are
// disabled so that every connection is verified against the current CA
// certificates.
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

// clientConfig returns the TLS configuration of one connection to a server. The
// server's certificate must be valid for the IP address that was dialled.
func (c *Certificates) clientConfig() *tls.Config {
	state := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{state.certificate},
		RootCAs:      state.authority,
	}
}

// certificateRefusedText is the text that identifies a rejected certificate in the
// message of a gRPC error.
const certificateRefusedText = "certificate refused"

// clientCredentials uses the current certificates in each handshake.
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

// ClientHandshake implements credentials.TransportCredentials. After the
// handshake it waits for the first byte from the server, which belongs to the
// HTTP/2 settings frame. With TLS 1.3 the server rejects the client certificate
// only after the client's side of the handshake is complete, and a write before
// the rejection is read can reset the connection and lose the reason.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := credentials.NewTLS(c.certificates.clientConfig()).ClientHandshake(ctx, authority, raw)
	if err != nil {
		return nil, nil, wrapCertificateError(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	peeked := &peekedConn{Conn: conn}
	if _, err := conn.Read(peeked.first[:]); err != nil {
		_ = conn.Close()
		return nil, nil, wrapCertificateError(err)
	}
	return peeked, info, nil
}

// peekedConn is a connection whose first byte was read ahead. Read returns that
// byte first. It must be read by one goroutine only.
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

func wrapCertificateError(err error) error {
	var op *net.OpError
	var verification *tls.CertificateVerificationError
	if errors.As(err, &verification) || errors.As(err, &op) && op.Op == "remote error" {
		return &certificateError{err}
	}
	return err
}

type certificateError struct{ cause error }

func (e *certificateError) Error() string { return certificateRefusedText + ": " + e.cause.Error() }
func (e *certificateError) Unwrap() error { return e.cause }
