package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the settings on the users' page DEPLOY.md.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
	"configApplyMs": 2000, "downgradeMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000, "retryRatio": 0.2,
	"retryWindowS": 10, "retrySlack": 225, "recoveryS": 12, "eventLagMs": 120, "retryAfterS": 0, "stallMs": 4000,
	"fencingEnforced": false, "originWindowS": 5, "originOverrun": 1.1,
}

// node is a machine with a node, which runs as a process of its own.
type node struct {
	name, zone, ip string
	program        string
	settings       string
	log            *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

const (
	portFrontend, portReadiness, portControl = 8227, 8220, 8229
	portInternal, portInternalLast           = 7340, 7355
)

// newNode writes the settings of a node.
func newNode(program, dir, name, zone, ip, store string, zones []string) (*node, error) {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	body, err := json.MarshalIndent(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region",
		"zones":         regions,
		"listen":        map[string]string{"frontend": address(portFrontend), "readiness": address(portReadiness), "controlPlane": address(portControl)},
		"internalPorts": []int{portInternal, portInternalLast}, "seeds": []string{}, "bootstrap": true, "faultCounted": false,
		"limits":  map[string]any{"cpuQuota": 0.272, "cores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{
			"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200, "rowBytes": 65536,
			"crossShard": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, ip: ip, program: program, settings: filepath.Join(dir, name+".json")}
	if err := os.WriteFile(n.settings, body, 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}

// start starts the process, with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(n.program, "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir(), "ALMONDBAY_BOOT=" + n.settings}
	c.Stdout, c.Stderr = n.log, n.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended, n.startedAt = c, ended, time.Now()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, ended := n.process, n.ended
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// ready reports whether the readiness probe gets a 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", n.ip, portReadiness))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready, for a time at most.
func (n *node) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.ready() {
			return true
		}
	}
	return false
}
