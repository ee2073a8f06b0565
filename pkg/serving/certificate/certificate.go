// Package certificate loads the TLS certificates for listeners and for connections
// between nodes, and reloads changed files without a restart.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"almondbay.example/serving/bounded"
	"almondbay.example/serving/event"
)

// Error is the class of all errors of this package.
var Error = errs.Class("certificate")

// Config configures a Store.
type Config struct {
	// Certificate and Key are the paths of PEM files.
	Certificate string
	Key         string
	// Authority is the path of a PEM file with the CA certificates that verify
	// the peer. When it is empty, the CA certificates of the operating system
	// verify servers, and clients need no certificate.
	Authority string
	Logger    *zap.Logger
}

// Store holds the certificate, key and CA certificates that were last loaded
// without error. It is safe for concurrent use, except that only one goroutine may
// call Reload.
type Store struct {
	config  Config
	current atomic.Pointer[material]
	// loggedError is the last logged error since the files were loaded, so that
	// consecutive equal errors are logged once. Only Load and Reload use it.
	loggedError string
}

// files holds the contents of the certificate, key and authority files, in this
// order.
type files [3][]byte

func (f files) equal(other files) bool {
	return slices.EqualFunc(f[:], other[:], bytes.Equal)
}

// material is the result of parsing files.
type material struct {
	files       files
	certificate tls.Certificate
	// authority is nil when no authority file is configured.
	authority *x509.CertPool
}

// AuthorityError reports an authority file without a valid certificate.
type AuthorityError struct {
	File string
}

func (e *AuthorityError) Error() string {
	return fmt.Sprintf("certificate: authority file %s has no valid certificate", e.File)
}

// Load returns a Store with the contents of the files.
func Load(c Config) (*Store, error) {
	s := &Store{config: c}
	read, err := s.read()
	if err != nil {
		return nil, err
	}
	loaded, err := s.parse(read)
	if err != nil {
		return nil, err
	}
	s.activate(loaded)
	return s, nil
}

// Reload reads the files again. If they changed and are valid, new connections use
// them; if they are invalid, the error is logged and the store keeps its current
// certificate. It must be called periodically from one goroutine, and always
// returns nil.
func (s *Store) Reload(context.Context) error {
	read, err := s.read()
	if err != nil {
		s.logError(err)
		return nil
	}
	if read.equal(s.current.Load().files) {
		return nil
	}
	loaded, err := s.parse(read)
	if err != nil {
		s.logError(err)
		return nil
	}
	s.activate(loaded)
	return nil
}

// activate makes new connections use the loaded certificate.
func (s *Store) activate(loaded *material) {
	s.current.Store(loaded)
	s.loggedError = ""
	event.CertificateLoaded.Log(s.config.Logger,
		zap.String("file", s.config.Certificate), zap.Time("notAfter", loaded.certificate.Leaf.NotAfter))
}

// logError logs an error unless it equals the one logged before.
func (s *Store) logError(err error) {
	if err.Error() == s.loggedError {
		return
	}
	s.loggedError = err.Error()
	event.CertificateRefused.Log(s.config.Logger, zap.String("file", s.config.Certificate), zap.Error(err))
}

func (s *Store) read() (files, error) {
	var read files
	for i, name := range []string{s.config.Certificate, s.config.Key, s.config.Authority} {
		if name == "" {
			continue
		}
		body, err := os.ReadFile(name)
		if err != nil {
			return files{}, Error.Wrap(err)
		}
		read[i] = body
	}
	return read, nil
}

func (s *Store) parse(read files) (*material, error) {
	certificate, err := tls.X509KeyPair(read[0], read[1])
	if err != nil {
		return nil, Error.Wrap(err)
	}
	loaded := &material{files: read, certificate: certificate}
	if s.config.Authority == "" {
		return loaded, nil
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(read[2]) {
		return nil, &AuthorityError{File: s.config.Authority}
	}
	return loaded, nil
}

// NewListener returns a TLS listener over l. Each connection uses the certificate
// that is current at its TLS handshake. With an authority, clients must have a
// certificate of that authority.
func (s *Store) NewListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().serverConfig(), nil
		},
	})
}

// serverConfig returns the TLS settings of the server side of a connection.
func (m *material) serverConfig() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   []string{"http/1.1"},
	}
	if m.authority != nil {
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authority
	}
	return c
}

// Dial connects to another node over TLS, with the current certificate as client
// certificate. It has the signature of http.Transport.DialTLSContext.
func (s *Store) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	current := s.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: bounded.HandshakeTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{current.certificate},
			RootCAs:      current.authority,
			NextProtos:   []string{"http/1.1"},
		},
	}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("connect to %s: %w", address, err))
	}
	return connection, nil
}

// ClientConfig returns the TLS settings of a client that verifies servers with the
// CA certificates in the authority file, or with those of the operating system
// when authority is empty.
func ClientConfig(authority string) (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if authority == "" {
		return c, nil
	}
	body, err := os.ReadFile(authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(body) {
		return nil, &AuthorityError{File: authority}
	}
	return c, nil
}
