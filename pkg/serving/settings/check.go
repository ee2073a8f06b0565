package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"almondbay.example/core/jsonc"
	"almondbay.example/serving/keys"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// minKeyLength is the minimum length of a peer key in bytes.
const minKeyLength = 16

// validator validates decoded settings and adds the faults to their source. The
// arguments named pointer are JSON pointers to the validated value.
type validator struct {
	source *jsonc.Source
	// addresses holds the JSON pointer of each listener's address by address.
	addresses map[string]string
}

func validate(source *jsonc.Source, s Settings) {
	v := validator{source: source, addresses: make(map[string]string)}
	v.name("/node", s.Node)
	v.name("/failureDomain", s.FailureDomain)
	v.name("/environment", s.Environment)
	v.listener("/caller", s.Caller)
	v.listener("/operator", s.Operator.Listener)
	v.requireTLS("/operator", s.Operator.Listener)
	v.operators(s.Operator.Operators)
	v.listener("/peer", s.Peer.Listener)
	v.requireTLS("/peer", s.Peer.Listener)
	v.peerKeys(s.Peer)
	v.seeds(s.Peer)
	v.platform(s.Platform)
	v.limits(s.Limits)
}

func (v *validator) name(pointer, name string) {
	if name == "" {
		v.source.Faultf(pointer, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		v.source.Faultf(pointer, "must be 1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit, is %q", name)
	}
}

func (v *validator) listener(pointer string, l Listener) {
	v.address(pointer+"/address", l.Address)
	if (l.TLS.Certificate == "") != (l.TLS.Key == "") {
		v.source.Faultf(pointer+"/tls", "must have both certificate and key")
	}
	if l.TLS.IsZero() && l.TLS.Authority != "" {
		v.source.Faultf(pointer+"/tls/authority", "requires certificate and key to be set as well")
	}
}

func (v *validator) address(pointer, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		v.source.Faultf(pointer, "must be an IP address and a port, such as \"10.0.0.7:8080\", is %q", address)
		return
	}
	if parsed.Port() == 0 {
		// A free port suffices for a test on one VM, as no other VM needs to
		// know the port.
		if !parsed.Addr().IsLoopback() {
			v.source.Faultf(pointer, "port 0 (any free port) is allowed only on a loopback address")
		}
		return
	}
	if first, duplicate := v.addresses[address]; duplicate {
		v.source.Faultf(pointer, "%s is already used at %s", address, first)
		return
	}
	v.addresses[address] = pointer
}

// requireTLS adds a fault for a listener without TLS on an address other than
// loopback, where keys would cross the network unencrypted. It does not apply to
// the listener for callers, which may be behind a load balancer that terminates
// TLS.
func (v *validator) requireTLS(pointer string, l Listener) {
	address, err := netip.ParseAddrPort(l.Address)
	if err != nil || address.Addr().IsLoopback() || !l.TLS.IsZero() {
		return
	}
	v.source.Faultf(pointer+"/tls", "is required on an address other than loopback")
}

func (v *validator) operators(operators []keys.Holder) {
	if len(operators) == 0 {
		v.source.Faultf("/operator/operators", "at least one operator is required")
	}
	names := make(map[string]bool)
	for i, o := range operators {
		pointer := jsonc.Pointer("operator", "operators", i)
		v.name(pointer+"/name", o.Name)
		if names[o.Name] {
			v.source.Faultf(pointer+"/name", "%q is already used", o.Name)
		}
		names[o.Name] = true
		if !hashPattern.MatchString(o.Digest) {
			v.source.Faultf(pointer+"/keyHash", "must be a SHA-256 digest of 64 lower-case hex digits")
		}
	}
}

func (v *validator) seeds(p PeerListener) {
	for i, seed := range p.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			v.source.Faultf("/peer/seeds"+jsonc.Pointer(i), "must be an IP address and a port, is %q", seed)
		}
	}
}

func (v *validator) peerKeys(p PeerListener) {
	if len(p.Keys) == 0 {
		v.source.Faultf("/peer/keys", "at least one key is required, here or in the environment variable %s", PeerKeysVariable)
	}
	for i, key := range p.Keys {
		if len(key.Reveal()) < minKeyLength {
			v.source.Faultf("/peer/keys"+jsonc.Pointer(i), "must be at least %d bytes long", minKeyLength)
		}
	}
}

func (v *validator) platform(p Platform) {
	parsed, err := url.Parse(p.Address)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		v.source.Faultf("/platform/address", "must be an http or https URL")
		return
	}
	if parsed.User != nil {
		v.source.Faultf("/platform/address", "must not contain a user name or password")
	}
}

func (v *validator) limits(l Limits) {
	values := []struct {
		name  string
		value int64
	}{
		{"connections", int64(l.Connections)},
		{"requests", int64(l.Requests)},
		{"bodyTimeout", int64(l.BodyTimeout)},
		{"stallTimeout", int64(l.StallTimeout)},
	}
	for _, limit := range values {
		if limit.value <= 0 {
			v.source.Faultf(jsonc.Pointer("limits", limit.name), "must be above 0")
		}
	}
}
