// Command soak plays seeded runs of the real program on loopback addresses, injects
// faults and checks what callers and servers saw.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"almondbay.example/platform/soak"
)

func main() {
	parser := flags.NewNamedParser("soak", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"run", "Play seeds and check them", &runCommand{}},
		{"store", "Serve a stand-in of the platform's store", &storeCommand{}},
		{"server", "Serve a stand-in of a server of a plain service", &serverCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			fail(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fail(err)
	}
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// fail ends the program with an error.
func fail(err error) {
	_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
	var usage *flags.Error
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// signalContext returns a context that SIGTERM and SIGINT end.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type runCommand struct {
	First     uint64        `long:"first" default:"1" description:"First seed"`
	Count     uint64        `long:"count" default:"1" description:"Number of seeds"`
	Parallel  int           `long:"parallel" default:"1" description:"Number of runs at a time, up to 60"`
	Duration  time.Duration `long:"duration" default:"20s" description:"Time in which callers send requests"`
	Nodes     int           `long:"nodes" default:"3" description:"Number of nodes"`
	Servers   int           `long:"servers" default:"8" description:"Number of servers"`
	Callers   int           `long:"callers" default:"6" description:"Number of callers"`
	Restore   bool          `long:"restore" description:"Have the store come back from an older copy once or twice"`
	Program   string        `long:"almondbay" required:"true" description:"Path of the program almondbay"`
	Directory string        `long:"directory" required:"true" description:"Directory for settings and logs"`
}

// errViolations reports that a promise was broken.
var errViolations = errors.New("promises were broken")

// firstNetwork is the second byte of the loopback addresses of the first run at a time.
const firstNetwork = 60

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	seed, broken := c.First, 0
	next := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()

		seed++
		return seed - 1, seed-1 < c.First+c.Count
	}
	var g errgroup.Group
	for network := range c.Parallel {
		g.Go(func() error {
			for s, ok := next(); ok; s, ok = next() {
				directory := filepath.Join(c.Directory, "seed-"+strconv.FormatUint(s, 10))
				if err := os.MkdirAll(directory, 0o700); err != nil {
					return err
				}
				result, err := soak.Run(soak.RunConfig{
					Clock: clockwork.NewRealClock(), Seed: s, Duration: c.Duration, Nodes: c.Nodes, Servers: c.Servers,
					Callers: c.Callers, Restore: c.Restore, Node: c.Program, Self: self, Directory: directory, Network: byte(firstNetwork + network),
				})
				if err != nil {
					return fmt.Errorf("seed %d: %w", s, err)
				}
				mu.Lock()
				broken += len(result.Violations)
				fmt.Println(result.Format())
				mu.Unlock()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if broken > 0 {
		return errViolations
	}
	return nil
}

type storeCommand struct {
	Listen string `long:"listen" required:"true" description:"Address to listen on"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	return ignoreClosed(soak.RunStore(ctx, clockwork.NewRealClock(), c.Listen))
}

type serverCommand struct {
	ID      string `long:"id" required:"true" description:"ID of this start of the server"`
	Listen  string `long:"listen" required:"true" description:"Address to listen on"`
	Address string `long:"address" required:"true" description:"Address to register"`
	Store   string `long:"store" required:"true" description:"Address of the store"`
	Seed    uint64 `long:"seed" description:"Seed of the server's own choices"`
}

// Execute implements flags.Commander.
func (c *serverCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	return ignoreClosed(soak.RunServer(ctx, soak.ServerConfig{
		Clock: clockwork.NewRealClock(), ID: c.ID, Address: c.Address, Store: c.Store, Seed: c.Seed, Output: os.Stdout, Exit: os.Exit,
	}, c.Listen))
}

// ignoreClosed returns nil for the error of a server that was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
