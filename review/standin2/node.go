package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the project, started with the command of the deploy file.
type node struct {
	name, ip, zone string
	frontend       string
	readiness      string
	settings       string
	output         *os.File
	command        *exec.Cmd
	done           chan struct{}
}

// ports are the same on all machines of a run.
type ports struct {
	frontend, readiness, control, internal int
}

// nodeIP returns the loopback address of a node, which differs between runs at the same time.
func nodeIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%200, 10+number)
}

// freePorts returns ports that are free on the loopback addresses.
func freePorts() (ports, error) {
	var p ports
	for _, port := range []*int{&p.frontend, &p.readiness, &p.control} {
		l, err := net.Listen("tcp", nodeIP(0)+":0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	for base := 21000; base < 30000; base += 16 {
		a, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(0), base))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(0), base+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		_ = b.Close()
		p.internal = base
		return p, nil
	}
	return p, fmt.Errorf("no free internal ports")
}

// newNode writes the settings of a node of a small deployment.
func newNode(dir, binary string, number int, zone string, zones []string, p ports, storeAddress string) (*node, error) {
	ip := nodeIP(number)
	n := &node{
		name: fmt.Sprintf("edge-%s-%d", zone, number), ip: ip, zone: zone,
		frontend: fmt.Sprintf("%s:%d", ip, p.frontend), readiness: fmt.Sprintf("%s:%d", ip, p.readiness),
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "lisboa"
	}
	body, err := json.MarshalIndent(map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"},
		"ip": ip, "zone": zone, "region": "lisboa", "zones": regions,
		"listen":        map[string]string{"frontend": n.frontend, "readiness": n.readiness},
		"internalPorts": []int{p.internal, p.internal + 15},
		"bootstrap":     true,
		"limits":        map[string]any{"cpuQuota": 0.272, "cores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
		"discovery":     "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 225, "recoveryS": 12, "eventLagMs": 120, "retryAfterS": 0,
			"stallMs": 4000, "fencingEnforced": false, "originWindowS": 5, "originOverrun": 1.1,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200,
			"rowBytes": 65536, "crossShard": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(dir, n.name+".json")
	if err := os.WriteFile(n.settings, body, 0o600); err != nil {
		return nil, err
	}
	if n.output, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
		return nil, err
	}
	return n, n.start(binary)
}

// start starts the process.
func (n *node) start(binary string) error {
	n.command = exec.Command(binary, "entry")
	n.command.Env = []string{"PATH=/usr/bin:/bin", "ALMONDBAY_BOOT=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.output, n.output
	// The process ends with this one, however that ends.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.command, n.done)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// end kills the process if it still runs.
func (n *node) end() {
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.done
	_ = n.output.Close()
}

// ready reports whether the node answers the readiness probe with 200.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
