package main

import (
	"context"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/node"
	"almondbay.example/serving/platform/platformhttp"
	"almondbay.example/serving/settings"
)

const (
	// platformTimeout bounds one call of the platform.
	platformTimeout = 5 * time.Second
	// controlTimeout bounds one health question or order.
	controlTimeout = time.Second
)

type serveCommand struct {
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
	logger, err := zap.NewProduction()
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.Caller.Address)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", s.Operator.Address)
	if err != nil {
		return err
	}
	client := platformhttp.New(platformhttp.Config{Address: s.Platform.Address, Timeout: platformTimeout})
	n := node.New(node.Config{
		Settings:  s,
		Clock:     clockwork.NewRealClock(),
		Logger:    logger,
		Table:     client,
		Objects:   client,
		VMs:       client,
		Engine:    enginehttp.New(enginehttp.Config{ControlTimeout: controlTimeout}),
		Callers:   callers,
		Operators: operators,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return n.Run(ctx)
}
