package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/platform"
	"almondbay.example/standin/enginestandin"
	"almondbay.example/standin/platformstandin"
	"almondbay.example/standin/servicestandin"
)

// crashExitCode is the exit code of an engine that crashes on a prompt with the
// crash marker.
const crashExitCode = 3

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"Address to listen on"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	server := platformstandin.New(platform.NewMemory())
	return serve(c.Listen, server, func(a net.Addr) error {
		_, err := fmt.Println(a)
		return err
	})
}

type engineCommand struct {
	vmOptions

	Slots          int           `long:"slots" default:"16" description:"Most requests in a batch"`
	LoadTime       time.Duration `long:"load-time" default:"1s" description:"Time to load weights"`
	FirstToken     time.Duration `long:"first-token" default:"50ms" description:"Time to the first token"`
	TokenInterval  time.Duration `long:"token-interval" default:"10ms" description:"Time between tokens"`
	IgnoresFencing bool          `long:"ignores-fencing" description:"Accept orders with old fencing numbers"`
	CrashMarker    string        `long:"crash-marker" description:"Crash on a prompt that holds this text"`
	Accelerators   int           `long:"accelerators" default:"8" description:"Accelerators on the VM"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	member := enginestandin.NewMember(enginestandin.Config{
		ID:             c.ID,
		Boot:           uuid.NewString(),
		Clock:          clockwork.NewRealClock(),
		Slots:          c.Slots,
		LoadTime:       c.LoadTime,
		FirstToken:     c.FirstToken,
		TokenInterval:  c.TokenInterval,
		IgnoresFencing: c.IgnoresFencing,
		CrashMarker:    c.CrashMarker,
		Crash:          func() { os.Exit(crashExitCode) },
	})
	vm := fleet.VM{Role: fleet.RoleBackend, Accelerators: c.Accelerators}
	return serve(c.Listen, enginestandin.NewServer(member), func(a net.Addr) error {
		return register(c.vmOptions, vm, a)
	})
}

type serviceCommand struct {
	vmOptions

	Service string `long:"service" required:"true" description:"Name of the service"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	vm := fleet.VM{Role: fleet.RoleService, Service: c.Service}
	return serve(c.Listen, servicestandin.New(c.ID), func(a net.Addr) error {
		return register(c.vmOptions, vm, a)
	})
}
