package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenario is what a case plays.
type scenario struct {
	// zones has the zone of each machine, config is the first manifest.
	zones  []string
	config func() []byte
	play   func(w *world, trouble string) (held bool, verdict string)
	// groups is set if the engines form groups; otherwise they are those of a plain service.
	groups bool
}

const (
	// engineCount is the number of engines of a plain service.
	engineCount = 9
	portStore   = 8223
	// enginePorts is the number of ports that an engine may use, from firstPort on.
	enginePorts = 16
)

// cases maps the name of a case to what it plays.
var cases = map[string]scenario{
	"forget": {[]string{"zone-a", "zone-b", "zone-c"}, plainConfig, forget, false},
	"query":  {[]string{"zone-a", "zone-b", "zone-c"}, plainConfig, query, false},
	"wait":   {[]string{"zone-a", "zone-a", "zone-a"}, groupsConfig, wait, true},
	"herd":   {[]string{"zone-a", "zone-b", "zone-c"}, plainConfig, herd, false},
	"stale":  {[]string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-c"}, func() []byte { return keysConfig(7) }, stale, false},
}

func main() { os.Exit(play()) }

// play plays one case and returns the exit code.
func play() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("almondbay", "", "path of the program almondbay")
	record := flag.String("record", "", "path of record.txt")
	network := flag.Int("net", 40, "second byte of the loopback addresses")
	flag.Parse()
	s, ok := cases[*name]
	if !ok || *program == "" || *record == "" {
		flag.Usage()
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{record: newRecord(), store: newStore()}
	defer w.close()
	free, err := freeNetwork(*network, len(s.zones))
	if err == nil {
		err = w.open(s, *program, dir, free)
	}
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "1" {
		trouble = troubleAll
	}
	held, verdict := s.play(w, trouble)
	code, word := exitBroken, "BROKEN"
	switch {
	case w.record.failed != "":
		code, word, verdict = exitNotRun, "NOT RUN", w.record.failed
	case held:
		code, word = exitHeld, "HELD"
	}
	line := fmt.Sprintf("%s (TROUBLE=%q): %s", word, trouble, verdict)
	fmt.Println(line)
	if err := w.record.write(*record, line); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, n := range w.nodes {
			body, _ := os.ReadFile(filepath.Join(dir, n.name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), n.name+".log"), body, 0o600)
		}
	}
	return code
}

// freeNetwork returns the second byte of loopback addresses whose ports are free: the one given,
// or one of ten, twenty and so on more.
func freeNetwork(network, nodes int) (int, error) {
	for ; network < 250; network += 10 {
		if isFree(network, nodes) {
			return network, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(network, nodes int) bool {
	addresses := []string{fmt.Sprintf("127.%d.3.1:%d", network, portStore)}
	for i := range nodes {
		ports := []int{portFrontend, portReadiness, portControl}
		for port := portInternal; port <= portInternalLast; port++ {
			ports = append(ports, port)
		}
		for _, port := range ports {
			addresses = append(addresses, fmt.Sprintf("127.%d.1.%d:%d", network, i+1, port))
		}
	}
	for i := range engineCount {
		for port := firstPort; port < firstPort+enginePorts; port++ {
			addresses = append(addresses, fmt.Sprintf("127.%d.2.%d:%d", network, i+1, port))
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startTime is the time in which all machines must be ready.
const startTime = 15 * time.Second

// open starts the store, the engines and the nodes.
func (w *world) open(s scenario, program, dir string, network int) error {
	address := func(kind, index int) string { return fmt.Sprintf("127.%d.%d.%d", network, kind, index+1) }
	storeAddress := fmt.Sprintf("%s:%d", address(3, 0), portStore)
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	w.store.put("op", "config", s.config())
	ticker := time.NewTicker(20 * time.Millisecond)
	w.closers = append(w.closers, ticker.Stop)
	go func() {
		for range ticker.C {
			w.store.tick()
		}
	}()
	if err := w.openEngines(s, address); err != nil {
		return err
	}
	numbers := map[string]int{}
	for i, zone := range s.zones {
		numbers[zone]++
		n, err := newNode(program, dir, fmt.Sprintf("edge-%s-%d", zone, numbers[zone]), zone, address(1, i), storeAddress, zones)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.closers = append(w.closers, n.kill)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if !n.awaitReady(startTime) {
			return fmt.Errorf("machine %s is not ready after %v", n.name, startTime)
		}
	}
	return nil
}

// openEngines starts the engines.
func (w *world) openEngines(s scenario, address func(kind, index int) string) error {
	if s.groups {
		return w.openFabric(address)
	}
	for i := range engineCount {
		e := &engine{
			store: w.store, record: w.record, service: "workshop", zone: zones[i%len(zones)], address: fmt.Sprintf("%s:%d", address(2, i), firstPort), name: fmt.Sprintf("%02d", i),
			crashes: func(r *http.Request) bool { return r.URL.Path == pathBad },
			fails:   func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/puxa403/fails/") }, back: 1500 * time.Millisecond,
		}
		if err := e.start(); err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		w.closers = append(w.closers, func() { e.back = time.Hour; e.stop() })
	}
	return nil
}

func (w *world) close() {
	for _, c := range w.closers {
		c()
	}
}
