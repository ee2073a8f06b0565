package main

import (
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"almondbay.example/serving/certificate"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/event"
	"almondbay.example/serving/node"
	"almondbay.example/serving/platform/platformhttp"
	"almondbay.example/serving/settings"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 5 * time.Second
	// platformConnections is the number of idle connections kept to the platform.
	platformConnections = 32
	// controlTimeout bounds one health query or order to a member.
	controlTimeout = time.Second
)

type serveCommand struct {
	invocation *invocation

	Args struct {
		Settings string `positional-arg-name:"SETTINGS" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Args.Settings)
	if err != nil {
		return err
	}
	// Log lines show the code that logs the event, not the method of the event
	// catalogue that it calls.
	logger, err := zap.NewProduction(zap.AddCallerSkip(1))
	if err != nil {
		return err
	}
	event.NodeStarted.Log(logger, zap.String("node", s.Node), zap.String("failureDomain", s.FailureDomain),
		zap.String("environment", s.Environment), zap.String("version", node.Version))
	config, err := nodeConfig(s, logger)
	if err != nil {
		return err
	}
	if err := node.New(config).Run(c.invocation.ctx); err != nil {
		event.NodeFailed.Log(logger, zap.Error(err))
		return err
	}
	event.NodeStopped.Log(logger)
	return nil
}

// nodeConfig opens the listeners and creates the clients of a node.
func nodeConfig(s settings.Settings, logger *zap.Logger) (node.Config, error) {
	client, err := platformClient(s.Platform)
	if err != nil {
		return node.Config{}, err
	}
	config := node.Config{
		Settings: s,
		Clock:    clockwork.NewRealClock(),
		Logger:   logger,
		Table:    client,
		Objects:  client,
		VMs:      client,
		Engine:   enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout}),
	}
	if config.Callers, _, err = listen(&config, "caller", s.Caller, 0); err != nil {
		return node.Config{}, err
	}
	if config.Operators, _, err = listen(&config, "operator", s.Operator.Listener, node.MaxOperatorConnections); err != nil {
		return node.Config{}, err
	}
	var store *certificate.Store
	if config.Peers, store, err = listen(&config, "peer", s.Peer.Listener, node.MaxPeerConnections); err != nil {
		return node.Config{}, err
	}
	if store != nil {
		config.PeerDial = store.Dial
	}
	return config, nil
}

// listen opens a listener, with TLS when its settings name a certificate, whose
// store it adds to the config and returns. It accepts no more connections while the given
// number is open; zero for no limit.
func listen(c *node.Config, name string, s settings.Listener, connections int) (net.Listener, *certificate.Store, error) {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return nil, nil, err
	}
	if connections > 0 {
		listener = netutil.LimitListener(listener, connections)
	}
	event.NodeListening.Log(c.Logger, zap.String("listener", name),
		zap.String("address", listener.Addr().String()), zap.Bool("tls", !s.TLS.IsZero()))
	if s.TLS.IsZero() {
		return listener, nil, nil
	}
	store, err := certificate.Load(certificate.Config{
		Certificate: s.TLS.Certificate,
		Key:         s.TLS.Key,
		Authority:   s.TLS.Authority,
		Logger:      c.Logger,
	})
	if err != nil {
		return nil, nil, err
	}
	c.Certificates = append(c.Certificates, store)
	return store.NewListener(listener), store, nil
}

func platformClient(p settings.Platform) (*platformhttp.Client, error) {
	trust, err := certificate.ClientConfig(p.Authority)
	if err != nil {
		return nil, err
	}
	return platformhttp.New(platformhttp.Config{
		Address:   p.Address,
		Timeout:   platformTimeout,
		Key:       p.Key,
		Transport: &http.Transport{TLSClientConfig: trust},
		MaxIdle:   platformConnections,
	}), nil
}
