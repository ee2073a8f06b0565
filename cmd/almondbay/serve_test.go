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

// writeCertificate writes a certificate for loopback that is its own authority.
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

func TestNodesOverTLS(t *testing.T) {
	memory := platform.NewMemory()
	stand := platformstandin.New(memory)
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if keys.FromHeader(r.Header) != testPlatformKey {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		stand.ServeHTTP(w, r)
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
	file := write(t, "document.jsonc", fmt.Sprintf(`{"models": [{"name": "demo", "version": "1", "groups": 1, "span": 1}],
		"workspaces": [{"name": "lisboa", "keyHashes": [%q]}]}`, keys.Digest(testCallerKey)))
	flags := []string{"--server", operatorURL, "--authority", certificate, "--key", testOperatorKey}
	if got := command(t, append([]string{"apply", file}, flags...)...); got.code != exitDone {
		t.Fatalf("got %+v", got)
	}
	// The first node hears of the second by heartbeats over TLS.
	var shown result
	for !strings.Contains(shown.out, `"revision": 1,`+"\n"+`      "seenAt"`) {
		shown = command(t, append([]string{"status", "--json"}, flags...)...)
		if shown.code != exitDone || t.Context().Err() != nil {
			t.Fatalf("got %+v", shown)
		}
	}
	checkStrangers(t, nodes[0], certificate, key)

	text := shown.out
	for _, line := range logs.All() {
		text += fmt.Sprintln(line.Message, line.ContextMap())
	}
	for _, secret := range []string{testOperatorKey, testCallerKey, testPeerKey, testPlatformKey} {
		if strings.Contains(text, secret) || strings.Contains(text, keys.Digest(secret)) {
			t.Errorf("%q shows in status or logs", secret)
		}
	}
	if logs.FilterMessage("request without a valid key").Len() == 0 {
		t.Error("refusals are not logged")
	}
}

// checkStrangers has callers and strangers try the admin and peer listeners.
func checkStrangers(t *testing.T, n node.Config, certificate, key string) {
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
	try := func(address net.Addr, path, bearer string, certificates ...tls.Certificate) (int, error) {
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
		if code, err := try(n.Operators.Addr(), "/v1/status", bearer); err != nil || code != http.StatusUnauthorized {
			t.Errorf("the admin listener answered %q with %d, %v", bearer, code, err)
		}
	}
	for _, bearer := range []string{"", testCallerKey, testOperatorKey} {
		if code, err := try(n.Peers.Addr(), "/v1/histories", bearer, pair); err != nil || code != http.StatusUnauthorized {
			t.Errorf("the peer listener answered %q with %d, %v", bearer, code, err)
		}
	}
	if code, err := try(n.Peers.Addr(), "/v1/histories", testPeerKey); err == nil {
		t.Errorf("the peer listener answered %d without a certificate", code)
	}
	if code, err := try(n.Peers.Addr(), "/v1/histories", testPeerKey, pair); err != nil || code != http.StatusOK {
		t.Errorf("the peer listener answered a peer with %d, %v", code, err)
	}
	if code, err := try(n.Callers.Addr(), "/v1/models", testOperatorKey); err != nil || code != http.StatusUnauthorized {
		t.Errorf("the callers' listener answered an operator with %d, %v", code, err)
	}
}
