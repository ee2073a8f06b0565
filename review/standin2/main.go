// Command standin2 runs the cases of the second review that are scripts: it starts nodes of
// the project as separate processes, with stand-ins of the platform's store, of servers and
// of clients in this process.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a run that takes too long.
const maxRun = 110 * time.Second

// run is one run of a case.
type run struct {
	// mu guards ended, and nodes until all have started.
	mu      sync.Mutex
	ended   bool
	record  *record
	store   *store
	ports   ports
	dir     string
	binary  string
	trouble bool
	zones   []string
	// storeAddress is where the nodes reach the store.
	storeAddress string
	nodes        []*node
	// requested is set once an engine has begun to run a request.
	requested atomic.Bool
}

// cases has the cases by their number. A case returns what breaks the rule; nothing if it holds.
var cases = map[string]func(context.Context, *run) (broken []string, err error){
	"6":  lateJoining,
	"7":  lostHeads,
	"8":  errorAnswer,
	"9":  lateReport,
	"10": pausedRestart,
}

func main() {
	os.Exit(execute())
}

func execute() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE NODE-PROGRAM RECORD")
		return exitNotRun
	}
	test, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	broken, err := runCase(test, rec)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.line("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	default:
		rec.line("held")
		fmt.Println("held")
		return exitHeld
	}
}

func runCase(test func(context.Context, *run) ([]string, error), rec *record) ([]string, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Fprintln(os.Stderr, dir)
		}
	}()
	s, err := startStore(ctx)
	if err != nil {
		return nil, err
	}
	defer s.close()
	p, err := freePorts()
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return nil, err
	}
	r := &run{record: rec, store: s, ports: p, dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", zones: []string{"lisboa-a"}, storeAddress: s.address}
	defer r.endNodes()
	rec.line("trouble: %v", r.trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := test(ctx, r)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		return got.broken, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// endNodes ends all nodes. No node starts after that.
func (r *run) endNodes() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.ended = true
	for _, n := range r.nodes {
		n.end()
	}
}

// addNode starts a node.
func (r *run) addNode(number int) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.ended {
		return errors.New("the run has ended")
	}
	n, err := newNode(r.dir, r.binary, number+1, r.zones[number%len(r.zones)], r.zones, r.ports, r.storeAddress)
	if err == nil {
		r.nodes = append(r.nodes, n)
	}
	return err
}

// startNodes starts nodes and waits until they are ready.
func (r *run) startNodes(ctx context.Context, perZone int) error {
	for i := range perZone * len(r.zones) {
		if err := r.addNode(i); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.waitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until a node is ready.
func (r *run) waitReady(ctx context.Context, n *node) error {
	for until := time.Now().Add(15 * time.Second); !n.ready(); time.Sleep(100 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(until) {
			return fmt.Errorf("node %s is not ready", n.name)
		}
	}
	return nil
}

// putManifest writes the manifest.
func (r *run) putManifest(version int, routes, services []map[string]any) error {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	r.store.put("op", "config", body)
	r.record.line("manifest version %d is acknowledged", version)
	return nil
}

// plainRoute returns a route to a plain service.
func plainRoute(prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": "r-" + service + "-" + kind, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": 1500, "sloMs": 150,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// plainService returns a plain service.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 214, "protocol": "h1", "tls": false}
}
