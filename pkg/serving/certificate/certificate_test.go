package certificate_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/certificate"
)

// authority is a certificate authority for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// template returns a certificate template that does not expire during the test.
func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "almondbay"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<36, 0),
	}
}

func newAuthority() authority {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	t := template(1)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der := must(x509.CreateCertificate(rand.Reader, t, t, key.Public(), key))
	return authority{key, must(x509.ParseCertificate(der)), encode("CERTIFICATE", der)}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// issue signs a certificate for 127.0.0.1 and writes it, its key and the
// certificate of the authority to the files of the configuration.
func (a authority) issue(serial int64, c certificate.Config) {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	t := template(serial)
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der := must(x509.CreateCertificate(rand.Reader, t, a.certificate, key.Public(), a.key))
	replace(c.Certificate, encode("CERTIFICATE", der))
	replace(c.Key, encode("PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(key))))
	replace(c.Authority, a.pem)
}

func replace(file string, body []byte) {
	if err := os.WriteFile(file, body, 0o600); err != nil {
		panic(err)
	}
}

func config(t *testing.T, logger *zap.Logger) certificate.Config {
	dir := t.TempDir()
	return certificate.Config{
		Certificate: filepath.Join(dir, "node.pem"),
		Key:         filepath.Join(dir, "node.key"),
		Authority:   filepath.Join(dir, "authority.pem"),
		Logger:      logger,
	}
}

// serve starts a server that answers each connection with one byte until the test
// ends, and returns its address.
func serve(t *testing.T, s *certificate.Store) string {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := s.NewListener(plain)
	var group errgroup.Group
	group.Go(func() error {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return nil
			}
			_, _ = connection.Write([]byte("x"))
			_ = connection.Close()
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return plain.Addr().String()
}

// serial connects to the server with the certificates of a store and returns the
// serial number of the certificate of the server.
func serial(ctx context.Context, s *certificate.Store, address string) (int64, error) {
	connection, err := s.Dial(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.ReadAll(connection); err != nil {
		return 0, err
	}
	return connection.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Files can be replaced while the node runs, and may be missing or inconsistent
// while an operator writes them. New connections must keep using the last valid
// certificate, and each error must be logged once.
func TestReloadKeepsLastValidCertificate(t *testing.T) {
	ours := newAuthority()
	core, logs := observer.New(zap.InfoLevel)
	c := config(t, zap.New(core))
	ours.issue(10, c)
	store, err := certificate.Load(c)
	if err != nil {
		t.Fatal(err)
	}
	address := serve(t, store)
	steps := []struct {
		name   string
		change func()
		serial int64
		logged int
	}{
		{"as loaded", func() {}, 10, 1},
		{"unchanged", func() {}, 10, 1},
		{"replaced", func() { ours.issue(11, c) }, 11, 2},
		{"key file invalid", func() { replace(c.Key, []byte("nonsense")) }, 11, 3},
		{"key file still invalid", func() {}, 11, 3},
		{"certificate file missing", func() { _ = os.Remove(c.Certificate) }, 11, 4},
		{"certificate file still missing", func() {}, 11, 4},
		{"authority file invalid", func() { ours.issue(12, c); replace(c.Authority, []byte("nonsense")) }, 11, 5},
		{"corrected", func() { ours.issue(13, c) }, 13, 6},
	}
	for _, step := range steps {
		step.change()
		if err := store.Reload(t.Context()); err != nil {
			t.Fatal(err)
		}
		got, err := serial(t.Context(), store, address)
		if err != nil || got != step.serial || logs.Len() != step.logged {
			t.Errorf("%s: got certificate %d, %d events, error %v; want certificate %d, %d events",
				step.name, got, logs.Len(), err, step.serial, step.logged)
		}
	}
}

// With an authority configured, nodes and servers must reject peers whose
// certificate is missing or of another authority.
func TestPeersWithoutCertificateOfAuthorityAreRejected(t *testing.T) {
	ours, theirs := newAuthority(), newAuthority()
	c, d := config(t, zap.NewNop()), config(t, zap.NewNop())
	ours.issue(10, c)
	theirs.issue(20, d)
	store, other := must(certificate.Load(c)), must(certificate.Load(d))
	address := serve(t, store)
	if _, err := serial(t.Context(), other, address); err == nil {
		t.Error("Dial accepted a server of another authority")
	}
	without := &tls.Config{InsecureSkipVerify: true}
	connection, err := tls.Dial("tcp", address, without)
	if err == nil {
		_, err = io.ReadAll(connection)
		_ = connection.Close()
	}
	if err == nil {
		t.Error("server accepted a client without a certificate")
	}
	if _, err := certificate.Load(certificate.Config{Certificate: "/nowhere", Key: "/nowhere"}); err == nil {
		t.Error("Load of missing files returned no error")
	}
}

// TestHandshakeWithoutEnd guards against a connection that stays open when the
// server does not respond to the TLS handshake. net/http calls Dial with a context
// that outlives the request.
func TestHandshakeWithoutEnd(t *testing.T) {
	t.Parallel()
	c := config(t, zap.NewNop())
	newAuthority().issue(10, c)
	store := must(certificate.Load(c))
	s := boundedtest.NewServer(t, boundedtest.Case{Unread: true})
	connection, err := store.Dial(t.Context(), "tcp", s.Address)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() || !strings.Contains(err.Error(), s.Address) {
		t.Errorf("got error %v, want a timeout of %s", err, s.Address)
	}
	if err == nil {
		_ = connection.Close()
	}
	s.RequireClosed(t)
}
