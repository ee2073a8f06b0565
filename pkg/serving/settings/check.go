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

// minKeyLength is the least number of characters in a peer key.
const minKeyLength = 16

// checker adds the faults of decoded settings to their source.
type checker struct {
	source *jsonc.Source
	// addresses holds the pointer of each listener by address.
	addresses map[string]string
}

func check(source *jsonc.Source, s Settings) {
	c := checker{source: source, addresses: make(map[string]string)}
	c.name("/node", s.Node)
	c.name("/failureDomain", s.FailureDomain)
	c.name("/environment", s.Environment)
	c.listener("/caller", s.Caller)
	c.listener("/operator", s.Operator.Listener)
	c.encrypted("/operator", s.Operator.Listener)
	c.operators(s.Operator.Operators)
	c.listener("/peer", s.Peer.Listener)
	c.encrypted("/peer", s.Peer.Listener)
	c.peerKeys(s.Peer)
	c.seeds(s.Peer)
	c.platform(s.Platform)
	c.limits(s.Limits)
}

func (c *checker) name(at, name string) {
	if name == "" {
		c.source.Faultf(at, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		c.source.Faultf(at, "must be 1 to 63 letters, digits, dots, dashes or underscores, is %q", name)
	}
}

func (c *checker) listener(at string, l Listener) {
	c.address(at+"/address", l.Address)
	if (l.TLS.Certificate == "") != (l.TLS.Key == "") {
		c.source.Faultf(at+"/tls", "needs both certificate and key")
	}
	if l.TLS.IsZero() && l.TLS.Authority != "" {
		c.source.Faultf(at+"/tls/authority", "needs a certificate and key beside it")
	}
}

func (c *checker) address(at, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.source.Faultf(at, "must be an IP number and a port, such as \"10.0.0.7:8080\", is %q", address)
		return
	}
	if parsed.Port() == 0 {
		// Any free port is fine for a trial on one VM, where no other VM has
		// to find it.
		if !parsed.Addr().IsLoopback() {
			c.source.Faultf(at, "port 0 stands for any free port and is for loopback only")
		}
		return
	}
	if first, taken := c.addresses[address]; taken {
		c.source.Faultf(at, "%s is given already at %s", address, first)
		return
	}
	c.addresses[address] = at
}

// encrypted refuses a listener whose keys would cross a network in the clear.
// The address for callers may be plain, behind a balancer that encrypts.
func (c *checker) encrypted(at string, l Listener) {
	address, err := netip.ParseAddrPort(l.Address)
	if err != nil || address.Addr().IsLoopback() || !l.TLS.IsZero() {
		return
	}
	c.source.Faultf(at+"/tls", "is needed on an address that is not loopback")
}

func (c *checker) operators(operators []keys.Holder) {
	if len(operators) == 0 {
		c.source.Faultf("/operator/operators", "at least one operator is needed")
	}
	names := make(map[string]bool)
	for i, o := range operators {
		at := jsonc.Pointer("operator", "operators", i)
		c.name(at+"/name", o.Name)
		if names[o.Name] {
			c.source.Faultf(at+"/name", "%q is given already", o.Name)
		}
		names[o.Name] = true
		if !hashPattern.MatchString(o.Digest) {
			c.source.Faultf(at+"/keyHash", "must be a SHA-256 digest in 64 lower-case hex digits")
		}
	}
}

func (c *checker) seeds(p PeerListener) {
	for i, seed := range p.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.source.Faultf("/peer/seeds"+jsonc.Pointer(i), "must be an IP number and a port, is %q", seed)
		}
	}
}

func (c *checker) peerKeys(p PeerListener) {
	if len(p.Keys) == 0 {
		c.source.Faultf("/peer/keys", "at least one key is needed, here or in %s", PeerKeysVariable)
	}
	for i, key := range p.Keys {
		if len(key.Reveal()) < minKeyLength {
			c.source.Faultf("/peer/keys"+jsonc.Pointer(i), "must have at least %d characters", minKeyLength)
		}
	}
}

func (c *checker) platform(p Platform) {
	parsed, err := url.Parse(p.Address)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.source.Faultf("/platform/address", "must be an http or https URL")
		return
	}
	if parsed.User != nil {
		c.source.Faultf("/platform/address", "must not hold a user name or password")
	}
}

func (c *checker) limits(l Limits) {
	limits := []struct {
		name  string
		value int64
	}{
		{"connections", int64(l.Connections)},
		{"requests", int64(l.Requests)},
		{"bodyTimeout", int64(l.BodyTimeout)},
		{"stallTimeout", int64(l.StallTimeout)},
	}
	for _, limit := range limits {
		if limit.value <= 0 {
			c.source.Faultf(jsonc.Pointer("limits", limit.name), "must be above 0")
		}
	}
}
