package settings

import (
	"time"

	"almondbay.example/core/jsonc"
	"almondbay.example/serving/keys"
)

type wireSettings struct {
	Node          string       `json:"node"`
	FailureDomain string       `json:"failureDomain"`
	Environment   string       `json:"environment"`
	Caller        wireListener `json:"caller"`
	Operator      wireOperator `json:"operator"`
	Peer          wirePeer     `json:"peer"`
	Platform      wirePlatform `json:"platform"`
	Limits        wireLimits   `json:"limits"`
}

type wireListener struct {
	Address string  `json:"address"`
	TLS     wireTLS `json:"tls"`
}

type wireTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

type wireOperator struct {
	Address   string       `json:"address"`
	TLS       wireTLS      `json:"tls"`
	Operators []wireHolder `json:"operators"`
}

type wireHolder struct {
	Name    string `json:"name"`
	KeyHash string `json:"keyHash"`
}

type wirePeer struct {
	Address string   `json:"address"`
	TLS     wireTLS  `json:"tls"`
	Keys    []string `json:"keys"`
	Seeds   []string `json:"seeds"`
}

type wirePlatform struct {
	Address   string `json:"address"`
	Key       string `json:"key"`
	Authority string `json:"authority"`
}

type wireLimits struct {
	Connections  int            `json:"connections"`
	Requests     int            `json:"requests"`
	BodyTimeout  jsonc.Duration `json:"bodyTimeout"`
	StallTimeout jsonc.Duration `json:"stallTimeout"`
}

// defaultLimits holds the values of the limits that a file omits.
var defaultLimits = wireLimits{
	Connections:  16384,
	Requests:     8192,
	BodyTimeout:  jsonc.Duration(30 * time.Second),
	StallTimeout: jsonc.Duration(30 * time.Second),
}

// Parse decodes and validates settings. It returns all faults, ordered by
// position; the settings are valid only if there are none. The name identifies
// the text in the faults, and is usually its file name. Keys are overridden by
// the environment variables that lookup returns.
func Parse(name string, body []byte, lookup LookupEnv) (Settings, jsonc.Faults) {
	source := jsonc.Parse(name, body)
	wire := wireSettings{Limits: defaultLimits}
	source.Decode(&wire)
	s := toSettings(wire)
	overrideKeys(&s, lookup)
	validate(source, s)
	return s, source.Faults()
}

func toSettings(w wireSettings) Settings {
	s := Settings{
		Node:          w.Node,
		FailureDomain: w.FailureDomain,
		Environment:   w.Environment,
		Caller:        Listener{Address: w.Caller.Address, TLS: TLS(w.Caller.TLS)},
		Operator: OperatorListener{
			Listener: Listener{Address: w.Operator.Address, TLS: TLS(w.Operator.TLS)},
		},
		Peer: PeerListener{
			Listener: Listener{Address: w.Peer.Address, TLS: TLS(w.Peer.TLS)},
			Seeds:    w.Peer.Seeds,
		},
		Platform: Platform{
			Address:   w.Platform.Address,
			Key:       keys.NewSecret(w.Platform.Key),
			Authority: w.Platform.Authority,
		},
		Limits: Limits{
			Connections:  w.Limits.Connections,
			Requests:     w.Limits.Requests,
			BodyTimeout:  time.Duration(w.Limits.BodyTimeout),
			StallTimeout: time.Duration(w.Limits.StallTimeout),
		},
	}
	for _, o := range w.Operator.Operators {
		s.Operator.Operators = append(s.Operator.Operators, keys.Holder{Name: o.Name, Digest: o.KeyHash})
	}
	for _, key := range w.Peer.Keys {
		s.Peer.Keys = append(s.Peer.Keys, keys.NewSecret(key))
	}
	return s
}
