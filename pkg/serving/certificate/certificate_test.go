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
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"almondbay.example/serving/certificate"
)

// authority signs certificates.
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

// issue writes a certificate for loopback and its key into files.
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

// serve answers each connection with one byte until the test ends.
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

// serial returns the serial number that a server shows to a node.
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

func TestReload(t *testing.T) {
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
		{"key of another", func() { replace(c.Key, []byte("nonsense")) }, 11, 3},
		{"still wrong", func() {}, 11, 3},
		{"gone", func() { _ = os.Remove(c.Certificate) }, 11, 4},
		{"still gone", func() {}, 11, 4},
		{"no authority", func() { ours.issue(12, c); replace(c.Authority, []byte("nonsense")) }, 11, 5},
		{"mended", func() { ours.issue(13, c) }, 13, 6},
	}
	for _, step := range steps {
		step.change()
		if err := store.Reload(t.Context()); err != nil {
			t.Fatal(err)
		}
		got, err := serial(t.Context(), store, address)
		if err != nil || got != step.serial || logs.Len() != step.logged {
			t.Errorf("%s: got certificate %d, %d events, %v", step.name, got, logs.Len(), err)
		}
	}
}

func TestStrangersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(), newAuthority()
	c, d := config(t, zap.NewNop()), config(t, zap.NewNop())
	ours.issue(10, c)
	theirs.issue(20, d)
	store, other := must(certificate.Load(c)), must(certificate.Load(d))
	address := serve(t, store)
	if _, err := serial(t.Context(), other, address); err == nil {
		t.Error("a node trusts a server of another authority")
	}
	without := &tls.Config{InsecureSkipVerify: true}
	connection, err := tls.Dial("tcp", address, without)
	if err == nil {
		_, err = io.ReadAll(connection)
		_ = connection.Close()
	}
	if err == nil {
		t.Error("a server serves a client without a certificate")
	}
	if _, err := certificate.Load(certificate.Config{Certificate: "/nowhere", Key: "/nowhere"}); err == nil {
		t.Error("missing files are loaded")
	}
}
