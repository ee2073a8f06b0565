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
	// models are the engines of the model service; the configuration has that service if
	// there are any.
	models []*modelEngine
	// modelSize is the number of engines of a replica group.
	modelSize int
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment) (bool, error){
	"lost-answer":    lostAnswer,
	"late-rejection": lateRejection,
	"uploads":        uploads,
	"silent-stream":  silentStream,
	"first-part":     firstPart,
	"leaving-head":   leavingHead,
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
	routeDraft  = "/sihu212/"
)

// service is the name of the plain service, modelService that of the model engines.
const (
	service      = "wuno96b"
	modelService = "huvo11a"
)

// configuration returns the first configuration.
func (d *deployment) configuration() ([]byte, error) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": 8000, "sloMs": 300, "priority": 2,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	routes := []any{
		route("r-book", routeBook, "non_idempotent", 1),
		route("r-lookup", routeLookup, "idempotent", 2),
		route("r-upload", routeUpload, "non_idempotent", 1),
	}
	services := []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 214, "protocol": "h1", "tls": false}}
	if len(d.models) > 0 {
		draft := route("r-draft", routeDraft, "streaming", 2)
		draft["service"], draft["resumable"], draft["sticky"], draft["gapTargetMs"], draft["sloMs"] = modelService, true, true, 300, 400
		routes = append(routes, draft)
		services = append(services, map[string]any{
			"name": modelService, "healthPath": "/healthz", "maxConns": 574, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": modelSlots, "kvCapacity": 1860000, "kvBytes": 96256, "linkMbps": 400000.0, "stride": 5,
				"models":  []any{map[string]any{"name": modelName, "size": d.modelSize, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmupS": 1.1}},
				"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048,
				"report_lag_ms": 200.0, "loadsPerS": 5.0, "loads_at_once": 7, "usual": map[string]any{"prompt": 979, "answer": 154},
				"cachedPrefixes": 1, "far_x": 2.5, "formMs": 300.0,
			},
		})
	}
	return json.Marshal(map[string]any{
		"version":  7,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	})
}

// start writes the first configuration, starts engines and nodes, and waits until the
// nodes are ready and have been in touch.
func (d *deployment) start(nodeCount int, engines []*engine) error {
	configuration, err := d.configuration()
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
	go d.store.expire(nil)
	for _, e := range engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	d.engines = engines
	for _, e := range d.models {
		if err := e.start(); err != nil {
			return err
		}
	}
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
