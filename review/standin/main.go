// Command reviewcase plays the cases of a review: it starts nodes with the command of the
// deploy file as separate processes, with stand-ins of the platform's store, of engines of
// plain services and of clients, and judges what clients and engines saw. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// deployment is a small deployment.
type deployment struct {
	root, dir string
	trouble   bool
	record    *record
	store     *store
	nodes     []*node
	engines   []*engine
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (bool, error){
	"lost-answer":    lostAnswer,
	"late-rejection": lateRejection,
	"uploads":        uploads,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "../..", "the repository")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(play(*name, *root, *out))
}

func play(name, root, out string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return statusFailed
	}
	broken, err := playCase(run, root, out)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return statusFailed
	case broken:
		return statusBroken
	default:
		return statusHeld
	}
}

func playCase(run func(*deployment) (bool, error), root, out string) (broken bool, err error) {
	root, err = filepath.Abs(root)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		return false, err
	}
	rec, err := openRecord(out)
	if err != nil {
		return false, err
	}
	d := &deployment{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec, store: newStore()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(statusFailed)
	}()
	defer func() {
		d.stop()
		if closeErr := rec.close(); err == nil {
			err = closeErr
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs of the nodes:", dir)
		}
	}()
	rec.line("trouble: %v", d.trouble)
	return run(d)
}

// stop ends the processes that were started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		n.kill()
	}
}

// routes of the deployment. Prefixes begin and end with a slash.
const (
	routeBook   = "/puxa403/"
	routeLookup = "/cufi504/"
	routeUpload = "/lohu930/"
)

// service is the name of the plain service.
const service = "wuno96b"

// start writes the first configuration, starts engines and nodes, and waits until the
// nodes are ready and have been in touch.
func (d *deployment) start(nodeCount int, engines []*engine) error {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": 8000, "sloMs": 300, "priority": 2,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			route("r-book", routeBook, "non_idempotent", 1),
			route("r-lookup", routeLookup, "idempotent", 2),
			route("r-upload", routeUpload, "non_idempotent", 1),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 214, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	d.store.put("op", "config", configuration)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	for _, e := range engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	d.engines = engines
	if d.nodes, err = newNodes(d.dir, l.Addr().String(), nodeCount); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := n.start(d.root, d.dir); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	d.record.line("%d nodes ready", nodeCount)
	time.Sleep(4 * time.Second)
	return nil
}

// maxBodyBytes is that of the sites.
const maxBodyBytes = 4194304

// runsOf returns how often each request ran, over all engines, and at which.
func (d *deployment) runsOf() (runs map[string]int, where map[string][]string) {
	runs, where = map[string]int{}, map[string][]string{}
	for _, e := range d.engines {
		e.mu.Lock()
		for id, n := range e.runs {
			runs[id] += n
			for range n {
				where[id] = append(where[id], e.id)
			}
		}
		e.mu.Unlock()
	}
	return runs, where
}
