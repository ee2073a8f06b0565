package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func asNetError(err error, target *net.Error) bool { return errors.As(err, target) }

// node is a process of the project: the command of the deploy file.
type node struct {
	name, zone, ip      string
	frontend, readiness string
	settings            string
	process             *exec.Cmd
	log                 *os.File
	exited              chan struct{}
}

// zones are the zones of the deployment.
var zones = []string{"z-a", "z-b", "z-c"}

// bounds are those of the site cartaz-almondbay.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250, "outerMs": 5000, "revokeStrict": false, "revokeMs": 5000,
	"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 225, "recoveryS": 12, "eventLagMs": 120, "retryAfterS": 0,
	"stallMs": 4000, "fencingEnforced": false, "originWindowS": 5, "originOverrun": 1.1,
}

// freePorts returns a loopback address in 127.0.0.0/8 with free ports.
func freePorts(n int) (ip string, ports []int, err error) {
	ip = fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, n+2)
	for range 4 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", nil, err
		}
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		defer func() { _ = l.Close() }()
	}
	return ip, ports, nil
}

// newNodes writes the settings of some nodes, which take turns in the zones.
func newNodes(dir, storeAddress string, count int) ([]*node, error) {
	// The internal ports are the same on all nodes, two in a row.
	_, ports, err := freePorts(250)
	if err != nil {
		return nil, err
	}
	internal := ports[0]
	if internal > 60000 {
		internal -= 5000
	}
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "area"
	}
	var nodes []*node
	for i := range count {
		ip, p, err := freePorts(i)
		if err != nil {
			return nil, err
		}
		n := &node{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: ip}
		n.frontend, n.readiness = fmt.Sprintf("%s:%d", ip, p[0]), fmt.Sprintf("%s:%d", ip, p[1])
		settings := map[string]any{
			"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": n.zone,
			"region": "area", "zones": zoneMap, "listen": map[string]string{"frontend": n.frontend, "readiness": n.readiness},
			"internalPorts": []int{internal, internal + 15}, "seeds": []string{}, "bootstrap": true,
			"limits":      map[string]any{"cpuQuota": 0.272, "cores": 1, "memoryMb": memoryMb, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
			"heartbeatMs": heartbeat.Milliseconds(), "bounds": bounds,
			"platform": map[string]any{
				"address": storeAddress, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200,
				"rowBytes": 65536, "crossShard": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
			},
		}
		body, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(dir, n.name+".json")
		if err := os.WriteFile(n.settings, body, 0o600); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// memoryMb is the memory of a machine of the site cartaz-almondbay.
const memoryMb = 206

// start starts the process with the command of the deploy file.
func (n *node) start(root, dir string) error {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	command := ""
	for line := range strings.Lines(string(deploy)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			command = strings.Trim(rest, `"`)
		}
	}
	words := strings.Fields(command)
	if len(words) == 0 {
		return errors.New("deploy/system.toml has no line run")
	}
	n.log, err = os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	n.process.Dir = root
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C.UTF-8", "ALMONDBAY_BOOT=" + n.settings}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	// The process ends with this one, however that ends.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		// How it ended is no matter.
		_ = p.Wait()
		close(exited)
	}(n.process, n.exited)
	return nil
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.exited
	n.process = nil
	_ = n.log.Close()
}

// awaitReady waits until the node's readiness probe answers 200.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s not ready after %v", n.name, limit)
}
