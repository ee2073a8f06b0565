// Package settings reads and validates the settings of one node from a file in
// JSON with comments.
//
// Environment variables override the keys in the file, so that the file need not
// contain secrets. They override no other setting.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/serving/keys"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// Environment variables that override keys of a settings file.
const (
	// PeerKeysVariable holds the peer keys, separated by commas.
	PeerKeysVariable = "ALMONDBAY_PEER_KEYS"
	// PlatformKeyVariable holds the key that is sent to the platform.
	PlatformKeyVariable = "ALMONDBAY_PLATFORM_KEY"
)

// Settings are the settings of one node.
type Settings struct {
	// Node is the ID of the VM that the node runs on.
	Node string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Environment is the name of the environment that the node serves.
	Environment string
	// Caller is the listener for callers.
	Caller Listener
	// Operator is the listener for the admin API.
	Operator OperatorListener
	// Peer is the listener for the other nodes.
	Peer     PeerListener
	Platform Platform
	Limits   Limits
}

// Listener is an address that a node listens on.
type Listener struct {
	// Address is an IP address and a port.
	Address string
	TLS     TLS
}

// TLS holds the paths of the PEM files of a listener's TLS configuration. The
// zero value means that connections are not encrypted.
type TLS struct {
	// Certificate and Key are both set or both empty.
	Certificate string
	Key         string
	// Authority is the file of CA certificates against which the other side's
	// certificate is verified. If it is empty, the CA certificates of the operating
	// system verify servers, and clients need no certificate.
	Authority string
}

// IsZero reports whether connections are not encrypted.
func (t TLS) IsZero() bool { return t.Certificate == "" }

// OperatorListener is the listener for the admin API.
type OperatorListener struct {
	Listener
	// Operators holds the names and keys of the operators that may use the
	// admin API; at least one.
	Operators []keys.Holder
}

// PeerListener is the listener for the other nodes.
type PeerListener struct {
	Listener
	// Keys are the keys that are accepted from peers; the first is also the one
	// that this node sends. There is at least one.
	Keys []keys.Secret
	// Seeds are addresses of other nodes of the failure domain, which the node
	// contacts if it starts while the platform is unavailable; optional.
	Seeds []string
}

// Platform configures the connection to the platform.
type Platform struct {
	// Address is the base URL of the platform.
	Address string
	// Key is sent with each request; it may be empty.
	Key keys.Secret
	// Authority is the file of CA certificates against which the platform's
	// certificate is verified; if empty, those of the operating system are used.
	Authority string
}

// Limits bounds the resources of a node that callers can occupy. All values are
// above zero.
type Limits struct {
	// Connections is the maximum number of open connections that are served.
	Connections int
	// Requests is the maximum number of requests in flight.
	Requests int
	// BodyTimeout is the maximum time for a caller to send a request body.
	BodyTimeout time.Duration
	// StallTimeout is the maximum time for which a caller may read no byte of a
	// response.
	StallTimeout time.Duration
}

// Load reads settings from the file at path, with keys overridden by the
// environment variables of the process. It returns jsonc.Faults if the settings
// are invalid.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	s, faults := Parse(path, body, os.LookupEnv)
	if err := faults.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// LookupEnv returns the value of an environment variable and whether it is set,
// like os.LookupEnv.
type LookupEnv func(name string) (string, bool)

// overrideKeys replaces the keys whose environment variable is set.
func overrideKeys(s *Settings, lookup LookupEnv) {
	if value, ok := lookup(PeerKeysVariable); ok {
		s.Peer.Keys = nil
		for key := range strings.SplitSeq(value, ",") {
			s.Peer.Keys = append(s.Peer.Keys, keys.NewSecret(strings.TrimSpace(key)))
		}
	}
	if value, ok := lookup(PlatformKeyVariable); ok {
		s.Platform.Key = keys.NewSecret(value)
	}
}
