// Package settings holds the settings of one node, read from a file in JSON
// with comments.
package settings

import (
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Settings are the settings of one node.
type Settings struct {
	// Node is the ID of the VM that the node runs on.
	Node string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Environment names the environment that the node serves.
	Environment string
	// CallerAddress is the host:port for callers.
	CallerAddress string
	// OperatorAddress is the host:port of the admin API.
	OperatorAddress string
	// OperatorKeyHashes are the hex SHA-256 digests of the operators' keys.
	OperatorKeyHashes []string
	// Platform is the base URL of the platform.
	Platform string
}

// Load reads settings from the file at path.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(body)
}

// Parse decodes settings.
func Parse(body []byte) (Settings, error) {
	standard, err := hujson.Standardize(body)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	var wire wireSettings
	if err := json.Unmarshal(standard, &wire); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return toSettings(wire), nil
}
