package settings_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"almondbay.example/serving/keys"
	"almondbay.example/serving/settings"
)

var digest = keys.Digest("operator")

// validSettings returns settings that use every section and omit some limits.
func validSettings() string {
	return `{
	"node": "entry-1", "failureDomain": "lisbon-1", "environment": "trial",
	"caller": {"address": "10.0.0.1:8080"},
	"operator": {"address": "127.0.0.1:8081", "operators": [{"name": "ana", "keyHash": "` + digest + `"}]},
	"peer": {"address": "10.0.0.1:8082", "keys": ["0123456789abcdef"],
		"tls": {"certificate": "node.pem", "key": "node.key", "authority": "peers.pem"}},
	"platform": {"address": "https://10.0.0.9:9000", "key": "file"}, // Shared.
	"limits": {"requests": 100, "bodyTimeout": "90s"},
}`
}

// lookupIn returns a lookup of environment variables in a map.
func lookupIn(values map[string]string) settings.LookupEnv {
	return func(name string) (string, bool) {
		value, ok := values[name]
		return value, ok
	}
}

func TestParse(t *testing.T) {
	got, faults := settings.Parse("s", []byte(validSettings()), lookupIn(nil))
	if err := faults.Err(); err != nil {
		t.Fatalf("got faults in valid settings: %v", err)
	}
	want := settings.Settings{
		Node: "entry-1", FailureDomain: "lisbon-1", Environment: "trial",
		Caller: settings.Listener{Address: "10.0.0.1:8080"},
		Operator: settings.OperatorListener{
			Listener:  settings.Listener{Address: "127.0.0.1:8081"},
			Operators: []keys.Holder{{Name: "ana", Digest: digest}},
		},
		Peer: settings.PeerListener{
			Listener: settings.Listener{
				Address: "10.0.0.1:8082",
				TLS:     settings.TLS{Certificate: "node.pem", Key: "node.key", Authority: "peers.pem"},
			},
			Keys: []keys.Secret{keys.NewSecret("0123456789abcdef")},
		},
		Platform: settings.Platform{Address: "https://10.0.0.9:9000", Key: keys.NewSecret("file")},
		Limits: settings.Limits{
			Connections: 16384, Requests: 100, BodyTimeout: 90 * time.Second, StallTimeout: 30 * time.Second,
		},
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b keys.Secret) bool { return a == b })); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
	if shown := fmt.Sprintf("%+v", got); strings.Contains(shown, "0123456789abcdef") {
		t.Errorf("the formatted settings reveal a peer key: %s", shown)
	}
}

func TestEnvironmentOverridesKeysOnly(t *testing.T) {
	got, faults := settings.Parse("s", []byte(validSettings()), lookupIn(map[string]string{
		settings.PeerKeysVariable:    "fedcba9876543210, 0123456789abcdef",
		settings.PlatformKeyVariable: "environment",
		"ALMONDBAY_NODE":             "entry-2",
	}))
	if err := faults.Err(); err != nil {
		t.Fatalf("got faults in valid settings: %v", err)
	}
	if got.Peer.Keys[0].Reveal() != "fedcba9876543210" || len(got.Peer.Keys) != 2 {
		t.Errorf("got %d peer keys, want the two of the environment variable", len(got.Peer.Keys))
	}
	if got.Platform.Key.Reveal() != "environment" {
		t.Errorf("got platform key %q, want that of the environment variable", got.Platform.Key.Reveal())
	}
	if got.Node != "entry-1" {
		t.Errorf("got node %q, want %q as in the file", got.Node, "entry-1")
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"invalid name":                {`"entry-1", "failureDomain": "lisbon-1"`, `"a/b"`, "s:1:1: /failureDomain: is missing\n" + `s:2:10: /node: must be 1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit, is "a/b"`},
		"host name":                   {`10.0.0.1:8080`, `localhost:8080`, `s:3:24: /caller/address: must be an IP address and a port, such as "10.0.0.7:8080", is "localhost:8080"`},
		"port 0 on a network address": {`10.0.0.1:8080`, `10.0.0.1:0`, `s:3:24: /caller/address: port 0 (any free port) is allowed only on a loopback address`},
		"duplicate address":           {`10.0.0.1:8080`, `10.0.0.1:8082`, `s:5:22: /peer/address: 10.0.0.1:8082 is already used at /caller/address`},
		"admin API without TLS":       {`127.0.0.1:8081`, `10.0.0.1:8081`, `s:4:14: /operator/tls: is required on an address other than loopback`},
		"certificate without key":     {`"key": "node.key", `, ``, `s:6:10: /peer/tls: must have both certificate and key`},
		"no operator":                 {`{"name": "ana", "keyHash": "` + digest + `"}`, ``, `s:4:57: /operator/operators: at least one operator is required`},
		"duplicate operator":          {`{"name": "ana",`, `{"name": "ana", "keyHash": "` + digest + `"}, {"name": "ana",`, `s:4:163: /operator/operators/1/name: "ana" is already used`},
		"key not hashed":              {digest, `operator`, `s:4:85: /operator/operators/0/keyHash: must be a SHA-256 digest of 64 lower-case hex digits`},
		"no peer key":                 {`"0123456789abcdef"`, ``, `s:5:47: /peer/keys: at least one key is required, here or in the environment variable ALMONDBAY_PEER_KEYS`},
		"short key":                   {`"0123456789abcdef"`, `"short"`, `s:5:48: /peer/keys/0: must be at least 16 bytes long`},
		"platform URL without scheme": {`https://10.0.0.9:9000`, `10.0.0.9:9000`, `s:7:26: /platform/address: must be an http or https URL`},
		"password in platform URL":    {`https://10.0.0.9`, `https://a:b@10.0.0.9`, `s:7:26: /platform/address: must not contain a user name or password`},
		"zero limits":                 {`"requests": 100`, `"requests": 0, "stallTimeout": "0s"`, "s:8:25: /limits/requests: must be above 0\ns:8:44: /limits/stallTimeout: must be above 0"},
		"unknown field":               {`"limits"`, `"limit"`, `s:8:2: /limit: unknown field`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(validSettings(), test.old, test.new, 1)
			_, faults := settings.Parse("s", []byte(body), lookupIn(nil))
			if diff := cmp.Diff(test.want, faults.Error()); diff != "" {
				t.Errorf("faults differ (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings())
	f.Fuzz(func(_ *testing.T, body string) {
		_, faults := settings.Parse("s", []byte(body), lookupIn(nil))
		_ = faults.Error()
	})
}
