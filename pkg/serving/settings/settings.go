// Package settings holds the settings of one node, read from a file in JSON
// with comments.
//
// Keys can be given in environment variables instead of the file; nothing else
// is overridden.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"almondbay.example/serving/keys"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Environment variables that override keys of a settings file.
const (
	// PeerKeysVariable holds the peer keys, separated by commas.
	PeerKeysVariable = "ALMONDBAY_PEER_KEYS"
	// PlatformKeyVariable holds the key for the platform.
	PlatformKeyVariable = "ALMONDBAY_PLATFORM_KEY"
)

// Settings are the settings of one node.
type Settings struct {
	// Node is the ID of the VM that the node runs on.
	Node string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Environment names the environment that the node serves.
	Environment string
	Caller      Listener
	Operator    OperatorListener
	Peer        PeerListener
	Platform    Platform
	Limits      Limits
}

// Listener is an address that a node listens on.
type Listener struct {
	// Address is an IP number and a port.
	Address string
	TLS     TLS
}

// TLS names the files of a listener's certificate. The zero value stands for
// plain connections.
type TLS struct {
	// Certificate and Key are both given or both empty.
	Certificate string
	Key         string
	// Authority holds the certificates that the other side is checked against;
	// empty stands for those of the operating system.
	Authority string
}

// IsZero tells whether connections are plain.
func (t TLS) IsZero() bool { return t.Certificate == "" }

// OperatorListener is the address of the admin API.
type OperatorListener struct {
	Listener
	// Operators may use the admin API; at least one.
	Operators []keys.Holder
}

// PeerListener is the address for the other nodes.
type PeerListener struct {
	Listener
	// Keys are the keys that peers may show; the first is the one to send.
	// There is at least one.
	Keys []keys.Secret
	// Seeds are addresses of other nodes of the failure domain, for a start
	// while the platform gives no answers; there may be none.
	Seeds []string
}

// Platform tells how to reach the platform.
type Platform struct {
	// Address is the base URL of the platform.
	Address string
	// Key is sent with each request; it may be empty.
	Key keys.Secret
	// Authority holds the certificates that the platform is checked against;
	// empty stands for those of the operating system.
	Authority string
}

// Limits bound what callers can make a node hold. All are above zero.
type Limits struct {
	// Connections bounds the open connections that are served.
	Connections int
	// Requests bounds the requests in flight.
	Requests int
	// BodyTimeout bounds the time that a caller takes to send a body.
	BodyTimeout time.Duration
	// StallTimeout bounds the time that a caller takes no byte of an answer.
	StallTimeout time.Duration
}

// Load reads settings from the file at path and takes keys from the process
// environment. It returns jsonc.Faults when the file is not sound.
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

// LookupEnv returns an environment variable and whether it is set, as
// os.LookupEnv does.
type LookupEnv func(name string) (string, bool)

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
