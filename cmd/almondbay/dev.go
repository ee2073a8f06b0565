package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/node"
	"almondbay.example/serving/operator"
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
	// devMembers leaves one spare VM beside the replica groups.
	devMembers = devSpan*devGroups + 1
	devSlots   = 16

	devFirstToken    = 50 * time.Millisecond
	devTokenInterval = 10 * time.Millisecond
	devLoadTime      = 300 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
)

type devCommand struct {
	Listen      string `long:"listen" default:"127.0.0.1:8080" description:"Address for callers"`
	AdminListen string `long:"admin-listen" default:"127.0.0.1:0" description:"Address of the admin API"`
	JSON        bool   `long:"json" description:"Print one line of JSON in place of text"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	callers, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", c.AdminListen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	memory := platform.NewMemory()
	var g run.Group
	for i := range devMembers {
		if err := addMember(&g, memory, fmt.Sprintf("vm-%d", i)); err != nil {
			return err
		}
	}
	key, adminKey := rand.Text(), rand.Text()
	if err := acceptDevDocument(ctx, memory, key); err != nil {
		return err
	}
	n := node.New(devNode(memory, callers, operators, adminKey))
	nodeContext, cancel := context.WithCancel(ctx)
	g.Add(func() error { return n.Run(nodeContext) }, func(error) { cancel() })
	c.print(callers.Addr().String(), operators.Addr().String(), key, adminKey)
	return g.Run()
}

func devNode(memory *platform.Memory, callers, operators net.Listener, adminKey string) node.Config {
	return node.Config{
		Settings: settings.Settings{
			Node:          "dev",
			FailureDomain: devFailureDomain,
			Environment:   devEnvironment,
			Operator:      settings.OperatorListener{KeyHashes: []string{hash(adminKey)}},
		},
		Clock:     clockwork.NewRealClock(),
		Logger:    zap.NewNop(),
		Table:     memory,
		Objects:   memory,
		VMs:       memory,
		Engine:    enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout}),
		Callers:   callers,
		Operators: operators,
	}
}

// addMember adds a stand-in of one member to the group and to the list of
// VMs.
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

// acceptDevDocument accepts the built-in document.
func acceptDevDocument(ctx context.Context, memory *platform.Memory, key string) error {
	body := fmt.Sprintf(`{
	"models": [{"name": %q, "version": "1", "groups": %d, "span": %d}],
	"workspaces": [{"name": "default", "keyHashes": [%q], "share": 1,
		"objective": {"firstToken": "2s", "betweenToken": "45ms", "target": 0.95}}],
}`, devModel, devGroups, devSpan, hash(key))
	return operator.Accept(ctx, operator.Config{
		Environment: devEnvironment,
		Table:       memory,
		Objects:     memory,
	}, []byte(body))
}

func (c *devCommand) print(address, adminAddress, key, adminKey string) {
	if c.JSON {
		fmt.Println(devLine(address, adminAddress, key, adminKey))
		return
	}
	fmt.Printf("Callers: http://%s  key %s\nAdmin API: http://%s  key %s\n\nTry:\n", address, key, adminAddress, adminKey)
	fmt.Printf("curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-H 'Content-Type: application/json' -d '{\"model\":%q,\"stream\":true,"+
		"\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, key, devModel)
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
