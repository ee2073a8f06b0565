package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/node"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/settings"
	"almondbay.example/standin/platformstandin"
)

const (
	testOperatorKey = "an operator's key for the admin API"
	testCallerKey   = "a caller's key for one workspace"
	testPeerKey     = "a key that only the peers share"
	testPlatformKey = "a key for the platform's services"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<36, 0),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certificate, key = filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key")
	for file, block := range map[string]*pem.Block{certificate: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "PRIVATE KEY", Bytes: secret}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificate, key
}

// startNode runs a node with TLS on all its listeners until the test ends.
func startNode(t *testing.T, id, platformURL string, logger *zap.Logger, certificate, key string) node.Config {
	t.Helper()
	body := fmt.Sprintf(`{
		"node": %q, "failureDomain": "lisboa-1", "environment": "trial",
		"caller": {"address": "127.0.0.1:0", "tls": {"certificate": %[2]q, "key": %[3]q}},
		"operator": {"address": "127.0.0.1:0", "tls": {"certificate": %[2]q, "key": %[3]q},
			"operators": [{"name": "ana", "keyHash": %[4]q}]},
		"peer": {"address": "127.0.0.1:0", "tls": {"certificate": %[2]q, "key": %[3]q, "authority": %[2]q},
			"keys": [%[5]q]},
		"platform": {"address": %[6]q, "key": %[7]q},
	}`, id, certificate, key, keys.Digest(testOperatorKey), testPeerKey, platformURL, testPlatformKey)
	s, faults := settings.Parse(id, []byte(body), func(string) (string, bool) { return "", false })
	if err := faults.Err(); err != nil {
		t.Fatal(err)
	}
	config, err := nodeConfig(s, logger)
	if err != nil {
		t.Fatal(err)
	}
	config.Linger = -1
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return node.New(config).Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return config
}

// TestNodesOverTLS runs two nodes with TLS on all listeners. They must exchange
// heartbeats, reject credentials that belong to another listener, and show no key
// or its digest in status or logs.
func TestNodesOverTLS(t *testing.T) {
	memory := platform.NewMemory()
	standin := platformstandin.New(memory)
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if keys.FromHeader(r.Header) != testPlatformKey {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		standin.ServeHTTP(w, r)
	}))
	core, logs := observer.New(zap.DebugLevel)
	certificate, key := writeCertificate(t)
	var nodes []node.Config
	for _, id := range []string{"entry-1", "entry-2"} {
		config := startNode(t, id, url, zap.New(core), certificate, key)
		nodes = append(nodes, config)
		memory.SetVM(fleet.VM{
			ID: id, Address: config.Peers.Addr().String(), FailureDomain: "lisboa-1", Role: fleet.RoleEntry, State: fleet.VMLive,
		})
	}
	operatorURL := "https://" + nodes[0].Operators.Addr().String()
	file := writeFile(t, "document.jsonc", fmt.Sprintf(`{"models": [{"name": "demo", "version": "1", "groups": 1, "span": 1}],
		"workspaces": [{"name": "lisboa", "keyHashes": [%q]}]}`, keys.Digest(testCallerKey)))
	flags := []string{"--server", operatorURL, "--authority", certificate, "--key", testOperatorKey}
	if got := runCommand(t, append([]string{"apply", file}, flags...)...); got.code != exitSuccess {
		t.Fatalf("apply got %+v", got)
	}
	// Waits until a heartbeat of the second node reaches the first one over TLS.
	var shown result
	for !strings.Contains(shown.stdout, `"revision": 1,`+"\n"+`      "seenAt"`) {
		shown = runCommand(t, append([]string{"status", "--json"}, flags...)...)
		if shown.code != exitSuccess || t.Context().Err() != nil {
			t.Fatalf("status got %+v, want the second node at revision 1", shown)
		}
	}
	checkUnauthorizedAccess(t, nodes[0], certificate, key)

	printed := shown.stdout
	for _, line := range logs.All() {
		printed += fmt.Sprintln(line.Message, line.ContextMap())
	}
	for _, secret := range []string{testOperatorKey, testCallerKey, testPeerKey, testPlatformKey} {
		if strings.Contains(printed, secret) || strings.Contains(printed, keys.Digest(secret)) {
			t.Errorf("status or logs contain %q or its digest", secret)
		}
	}
	if logs.FilterMessage("request without a valid key").Len() == 0 {
		t.Error("requests without a valid key are not logged")
	}
}

// checkUnauthorizedAccess requests the admin, peer and caller listeners with no
// credentials and with those of the other listeners.
func checkUnauthorizedAccess(t *testing.T, n node.Config, certificate, key string) {
	t.Helper()
	pool := x509.NewCertPool()
	pem, err := os.ReadFile(certificate)
	if err != nil || !pool.AppendCertsFromPEM(pem) {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	get := func(address net.Addr, path, bearer string, certificates ...tls.Certificate) (int, error) {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: certificates}}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: keys.Transport{Key: keys.NewSecret(bearer), Base: transport}}
		response, err := client.Get("https://" + address.String() + path)
		if err != nil {
			return 0, err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
	for _, bearer := range []string{"", testCallerKey, testPeerKey} {
		if code, err := get(n.Operators.Addr(), "/v1/status", bearer); err != nil || code != http.StatusUnauthorized {
			t.Errorf("admin listener answered key %q with %d, %v, want %d", bearer, code, err, http.StatusUnauthorized)
		}
	}
	for _, bearer := range []string{"", testCallerKey, testOperatorKey} {
		if code, err := get(n.Peers.Addr(), "/v1/histories", bearer, pair); err != nil || code != http.StatusUnauthorized {
			t.Errorf("peer listener answered key %q with %d, %v, want %d", bearer, code, err, http.StatusUnauthorized)
		}
	}
	if code, err := get(n.Peers.Addr(), "/v1/histories", testPeerKey); err == nil {
		t.Errorf("peer listener answered a client without a certificate with %d, want a TLS error", code)
	}
	if code, err := get(n.Peers.Addr(), "/v1/histories", testPeerKey, pair); err != nil || code != http.StatusOK {
		t.Errorf("peer listener answered a peer with %d, %v, want %d", code, err, http.StatusOK)
	}
	if code, err := get(n.Callers.Addr(), "/v1/models", testOperatorKey); err != nil || code != http.StatusUnauthorized {
		t.Errorf("caller listener answered the operator's key with %d, %v, want %d", code, err, http.StatusUnauthorized)
	}
}
