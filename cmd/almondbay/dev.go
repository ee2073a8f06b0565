package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/node"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/settings"
	"almondbay.example/standin/enginestandin"
)

const (
	devEnvironment   = "dev"
	devFailureDomain = "local"
	devModel         = "demo"
	devSpan          = 4
	devGroups        = 2
	// devMembers includes one spare VM.
	devMembers = devSpan*devGroups + 1
	devSlots   = 16

	devFirstToken    = 50 * time.Millisecond
	devTokenInterval = 10 * time.Millisecond
	devLoadTime      = 300 * time.Millisecond
	// devPollInterval is the interval at which awaitServing polls the node.
	devPollInterval = 20 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
)

type devCommand struct {
	invocation *invocation

	Listen      string `long:"listen" default:"127.0.0.1:8080" description:"Address for callers"`
	AdminListen string `long:"admin-listen" default:"127.0.0.1:0" description:"Address of the admin API"`
	JSON        bool   `long:"json" description:"Print one line of JSON in place of text, once the node serves"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	callerListener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	operatorListener, err := net.Listen("tcp", c.AdminListen)
	if err != nil {
		return err
	}
	operatorListener = netutil.LimitListener(operatorListener, node.MaxOperatorConnections)
	ctx := c.invocation.ctx
	memory := platform.NewMemory()
	var g run.Group
	for i := range devMembers {
		if err := addMember(&g, memory, fmt.Sprintf("vm-%d", i)); err != nil {
			return err
		}
	}
	key, adminKey := keys.Generate(), keys.Generate()
	config := devNodeConfig(memory, callerListener, operatorListener, adminKey)
	if err := acceptDevDocument(ctx, config, key); err != nil {
		return err
	}
	n := node.New(config)
	nodeContext, cancel := context.WithCancel(ctx)
	g.Add(func() error { return n.Run(nodeContext) }, func(error) { cancel() })
	g.Add(func() error {
		if !awaitServing(nodeContext, n, config.Clock) {
			return nil
		}
		if err := c.printAddresses(callerListener.Addr().String(), operatorListener.Addr().String(), key, adminKey); err != nil {
			return err
		}
		<-nodeContext.Done()
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// awaitServing waits until all replica groups of the document serve, so that the
// curl command printed afterwards works at once. It returns false when ctx ends
// first.
func awaitServing(ctx context.Context, n *node.Node, clock clockwork.Clock) bool {
	ticker := clock.NewTicker(devPollInterval)
	defer ticker.Stop()
	for {
		if s := n.Status(); s.Ready && s.Distance() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.Chan():
		}
	}
}

func devNodeConfig(memory *platform.Memory, callerListener, operatorListener net.Listener, adminKey keys.Secret) node.Config {
	return node.Config{
		Settings: settings.Settings{
			Node:          "dev",
			FailureDomain: devFailureDomain,
			Environment:   devEnvironment,
			Operator: settings.OperatorListener{
				Operators: []keys.Holder{{Name: "dev", Digest: adminKey.Digest()}},
			},
		},
		Clock:     clockwork.NewRealClock(),
		Logger:    zap.NewNop(),
		Table:     memory,
		Objects:   memory,
		VMs:       memory,
		Engine:    enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout}),
		Callers:   callerListener,
		Operators: operatorListener,
		Linger:    -1,
	}
}

// addMember adds the server of one simulated engine member to the run group, and
// its VM to the platform's list.
func addMember(g *run.Group, memory *platform.Memory, id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	member := enginestandin.NewMember(enginestandin.Config{
		ID:            id,
		Boot:          uuid.NewString(),
		Clock:         clockwork.NewRealClock(),
		Slots:         devSlots,
		LoadTime:      devLoadTime,
		FirstToken:    devFirstToken,
		TokenInterval: devTokenInterval,
	})
	memory.SetVM(fleet.VM{
		ID:            id,
		Address:       l.Addr().String(),
		FailureDomain: devFailureDomain,
		FabricDomain:  "fabric-0",
		Role:          fleet.RoleBackend,
		Accelerators:  8,
		State:         fleet.VMLive,
	})
	server := &http.Server{Handler: enginestandin.NewServer(member), ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
	return nil
}

// acceptDevDocument makes the built-in document the first revision of the
// environment.
func acceptDevDocument(ctx context.Context, c node.Config, key keys.Secret) error {
	body := fmt.Appendf(nil, `{
	"models": [{"name": %q, "version": "1", "groups": %d, "span": %d}],
	"workspaces": [{"name": "default", "keyHashes": [%q], "share": 1,
		"objective": {"firstToken": "2s", "betweenToken": "45ms", "target": 0.95}}],
}`, devModel, devGroups, devSpan, key.Digest())
	_, err := node.NewStore(c).Accept(ctx, devEnvironment, environment.Proposal{
		Operation: uuid.NewString(), Author: "dev", Body: body,
	})
	return err
}

// printAddresses prints the addresses and keys of the node.
func (c *devCommand) printAddresses(address, adminAddress string, key, adminKey keys.Secret) error {
	if c.JSON {
		line, err := json.Marshal(devOutput{
			Address:      address,
			Key:          key.Reveal(),
			Model:        devModel,
			AdminAddress: adminAddress,
			AdminKey:     adminKey.Reveal(),
		})
		if err != nil {
			return err
		}
		printLine(c.invocation.out, string(line))
		return nil
	}
	printLine(c.invocation.out, fmt.Sprintf("Callers: http://%s  key %s\nAdmin API: http://%s  key %s\n\nTry:\n"+
		"curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true,"+
		"\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'",
		address, key.Reveal(), adminAddress, adminKey.Reveal(), address, key.Reveal(), devModel))
	return nil
}
