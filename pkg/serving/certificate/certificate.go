// Package certificate holds the certificates of listeners and of connections
// between nodes, and takes up changed files without a restart.
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

	"almondbay.example/serving/event"
)

// Error is the class of all errors of this package.
var Error = errs.Class("certificate")

// Config configures a Store.
type Config struct {
	// Certificate and Key name PEM files.
	Certificate string
	Key         string
	// Authority names a PEM file with the certificates that the other side is
	// checked against; empty for those of the operating system.
	Authority string
	Logger    *zap.Logger
}

// Store holds what the files held when they were last sound. It is safe for
// concurrent use.
type Store struct {
	config  Config
	current atomic.Pointer[material]
	// refused is the fault that was logged last, so that it is logged once. Only
	// Reload uses it.
	refused string
}

// files is the content of the files.
type files [3][]byte

func (f files) equal(other files) bool {
	return slices.EqualFunc(f[:], other[:], bytes.Equal)
}

// material is what sound files hold.
type material struct {
	files       files
	certificate tls.Certificate
	// authority is nil when the operating system's certificates hold.
	authority *x509.CertPool
}

// AuthorityError reports an authority file without a certificate.
type AuthorityError struct {
	File string
}

func (e *AuthorityError) Error() string {
	return fmt.Sprintf("certificate: %s holds no certificate", e.File)
}

// Load reads the files for the first time.
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
	s.use(loaded)
	return s, nil
}

// Reload reads the files again. New connections use them when they are sound;
// else the store keeps what it has and logs what is wrong. It is to be called
// every few seconds, by one goroutine.
func (s *Store) Reload(context.Context) error {
	read, err := s.read()
	if err != nil {
		s.refuse(err)
		return nil
	}
	if read.equal(s.current.Load().files) {
		return nil
	}
	loaded, err := s.parse(read)
	if err != nil {
		s.refuse(err)
		return nil
	}
	s.use(loaded)
	return nil
}

func (s *Store) use(loaded *material) {
	s.current.Store(loaded)
	s.refused = ""
	event.CertificateLoaded.Log(s.config.Logger,
		zap.String("file", s.config.Certificate), zap.Time("notAfter", loaded.certificate.Leaf.NotAfter))
}

func (s *Store) refuse(err error) {
	if err.Error() == s.refused {
		return
	}
	s.refused = err.Error()
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

// NewListener serves TLS on a listener with the current certificate. With an
// authority it refuses connections without a certificate of that authority.
func (s *Store) NewListener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load().server(), nil
		},
	})
}

func (m *material) server() *tls.Config {
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

// Dial connects to another node over TLS, with the current certificate as the
// client's. It fits http.Transport.DialTLSContext.
func (s *Store) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	current := s.current.Load()
	dialer := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authority,
		NextProtos:   []string{"http/1.1"},
	}}
	connection, err := dialer.DialContext(ctx, network, address)
	return connection, Error.Wrap(err)
}

// ClientConfig returns the settings of a client that checks servers against the
// certificates in an authority file, or against those of the operating system
// when there is no file.
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
