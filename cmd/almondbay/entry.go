package main

import (
	"context"
	"log"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sys/unix"

	"almondbay.example/internal/node/clock"
	"almondbay.example/internal/node/deployment"
	"almondbay.example/internal/node/entry"
	"almondbay.example/internal/node/logsink"
	"almondbay.example/platform"
	"almondbay.example/serving/event"
	"almondbay.example/serving/node"
)

const (
	// storeTimeout bounds a call to the platform's store that does not wait for a
	// change.
	storeTimeout = 1500 * time.Millisecond
	// tcpUserTimeout closes a connection when data that was sent stays
	// unacknowledged for this long: three retransmissions within a region.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable
	// peer of an idle connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readyPath         = "/-/readyz"
)

type entryCommand struct {
	invocation *invocation
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	loadSettings := func() (deployment.Settings, error) {
		return platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	}
	s, err := loadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(entry.SoftMemoryLimit(s.MemoryBytes))
	sink := logsink.New(os.Stdout)
	logger := newLogger(sink)
	event.NodeStarted.Log(logger, zap.String("node", s.Node), zap.String("failureDomain", s.FailureDomain),
		zap.String("version", node.Version))
	n, err := entry.New(entryConfig(s, logger, sink, loadSettings))
	if err != nil {
		event.NodeFailed.Log(logger, zap.Error(err))
		return err
	}
	// net/http clients report unsolicited responses to the default logger.
	log.SetFlags(0)
	log.SetOutput(n.ErrorLog().Writer())
	var g run.Group
	g.Add(sink.Run, func(error) { sink.Stop() })
	g.Add(func() error {
		if err := n.Run(c.invocation.ctx); err != nil {
			event.NodeFailed.Log(logger, zap.Error(err))
			return err
		}
		event.NodeStopped.Log(logger)
		return nil
	}, func(error) {})
	return g.Run()
}

// newLogger returns a logger that never blocks on the output: the sink buffers
// lines.
func newLogger(sink *logsink.Sink) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, zapcore.InfoLevel))
}

func entryConfig(s deployment.Settings, logger *zap.Logger, sink *logsink.Sink, loadSettings func() (deployment.Settings, error)) entry.Config {
	dial := dialer().DialContext
	return entry.Config{
		Settings: s,
		Clock:    clock.New(),
		Logger:   logger,
		Store:    platform.NewStore(platform.StoreConfig{Address: s.PlatformAddress, Timeout: storeTimeout, Dial: dial}),
		Orders:   platform.NewOrders(platform.OrdersConfig{Dial: dial}),
		Dialect:  platform.Dialect{},
		Codec: entry.Codec{
			ServersTable:        platform.ServersTable,
			ConfigurationTable:  platform.ConfigurationTable,
			ConfigurationKey:    platform.ConfigurationKey,
			DecodeServer:        platform.DecodeServer,
			DecodeConfiguration: platform.DecodeConfiguration,
			Unwrap:              platform.DecodeEnvelope,
		},
		Dial:         dial,
		Reload:       loadSettings,
		DroppedLines: sink.Dropped,
		ReadyPath:    readyPath,
	}
}

// dialer returns a dialer whose connections detect a peer that has become
// unreachable.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: storeTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}
