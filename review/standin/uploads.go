package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// uploads plays many users at once (burst) who send bodies within maxBodyBytes, on links
// of their own, while other clients use kept channels to the same nodes. The platform kills
// a process that exceeds its memory.
func uploads(d *deployment) (bool, error) {
	const (
		nodeCount = 3
		// uploaders is the number of users at a node that send bodies, one after the other.
		// Each begins one in uploadInterval: the time that a body takes on its link, the
		// time that a server takes for it and a pause.
		uploaders      = 62
		linkRate       = 800 << 10
		uploadInterval = 5300 * time.Millisecond
		// In burstLength, 1.7 times as many uploads begin: x = 1.7, for_s = 3.0. burst is
		// the number of the further ones at a node.
		burstLength = 3 * time.Second
		burst       = int(uploaders * 7 * burstLength / (10 * uploadInterval))
		bookers     = 12
		length      = 22 * time.Second
		burstAfter  = 10 * time.Second
	)
	engines := uploadEngines(d)
	if err := d.start(nodeCount, engines); err != nil {
		return false, err
	}
	body := make([]byte, maxBodyBytes)
	start := time.Now()
	end := start.Add(length)
	stop := make(chan struct{})
	var platform sync.WaitGroup
	var killed atomic.Int64
	for _, n := range d.nodes {
		platform.Go(func() { d.enforceMemory(n, stop, &killed) })
	}
	var g sync.WaitGroup
	var booked, uploaded outcomes
	for i := range nodeCount {
		address := d.nodes[i].frontend
		upload := func(from, until time.Time) {
			time.Sleep(time.Until(from))
			c := &client{address: address, record: d.record, rate: linkRate}
			defer c.close()
			for time.Now().Before(until) {
				o := c.post(routeUpload+"2f", "", body, 8*time.Second)
				uploaded.add(o)
				time.Sleep(max(o.retryAfter, 100*time.Millisecond))
			}
		}
		for k := range uploaders {
			// Users come one after the other, not at the same time.
			g.Go(func() { upload(start.Add(time.Duration(k)*uploadInterval/uploaders), end) })
		}
		if d.trouble {
			for k := range burst {
				from := start.Add(burstAfter + time.Duration(k)*burstLength/time.Duration(burst))
				// Each of these users sends one body.
				g.Go(func() { upload(from, from.Add(time.Second)) })
			}
		}
		for range bookers {
			g.Go(func() { d.book(address, end, &booked) })
		}
	}
	g.Wait()
	close(stop)
	platform.Wait()
	return d.judgeLost(&booked, &uploaded, killed.Load())
}

// book sends one booking after the other on a kept channel until the end.
func (d *deployment) book(address string, end time.Time, booked *outcomes) {
	c := &client{address: address, record: d.record}
	defer c.close()
	for time.Now().Before(end) {
		o := c.post(routeBook+"2f", "", []byte("a booking of some bytes"), 4*time.Second)
		booked.add(o)
		time.Sleep(max(o.retryAfter, 50*time.Millisecond))
	}
}

// uploadEngines returns the engines: a body takes them 50 ms, a booking 300 ms.
func uploadEngines(d *deployment) []*engine {
	var engines []*engine
	for i, z := range zones {
		e := newEngine([]string{"i-7f3a91c2", "i-02d9e6b4", "i-5ef21232"}[i], z, service, 60, 30, d.store, d.record)
		e.work = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.URL.Path, routeUpload) {
				return 50 * time.Millisecond
			}
			return 300 * time.Millisecond
		}
		engines = append(engines, e)
	}
	return engines
}

// judgeLost checks LOST: a machine passes a request from a kept channel on to a sound engine
// and closes that channel without an answer, more than three times. A process that ends for
// its memory counts as running all the while.
func (d *deployment) judgeLost(booked, uploaded *outcomes, killed int64) (bool, error) {
	runs, _ := d.runsOf()
	lost, answered := 0, 0
	for _, o := range booked.all {
		if o.err == nil && o.status == http.StatusOK {
			answered++
		}
		if o.kept && o.err != nil && runs[o.id] > 0 {
			lost++
			d.record.line("LOST: request %s from a kept channel ran, and its channel was closed without an answer: %v", o.id, o.err)
		}
	}
	stored := 0
	for _, o := range uploaded.all {
		if o.err == nil && o.status == http.StatusOK {
			stored++
		}
	}
	d.record.say("%d bookings, %d answered 200; %d uploads, %d answered 200; %d processes killed for their memory; %d bookings ran and lost their kept channel",
		len(booked.all), answered, len(uploaded.all), stored, killed, lost)
	if stored == 0 || answered == 0 {
		return false, errors.New("the deployment served nothing")
	}
	return lost > 3, nil
}

// enforceMemory kills the process of a node when it exceeds its memory, and starts it
// again after a second, until stop is closed. Only memory that is the process's own counts,
// not that of its program file.
func (d *deployment) enforceMemory(n *node, stop chan struct{}, killed *atomic.Int64) {
	most := 0
	defer func() { d.record.say("%s: at most %d MB of %d MB", n.name, most>>10, memoryMb) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := ownMemory(n.process.Process.Pid)
		most = max(most, used)
		if used <= memoryMb<<10 {
			continue
		}
		killed.Add(1)
		d.record.say("the platform kills %s, which uses %d MB of %d MB", n.name, used>>10, memoryMb)
		n.kill()
		time.Sleep(time.Second)
		if err := n.start(d.root, d.dir); err != nil {
			d.record.say("start %s: %v", n.name, err)
			return
		}
	}
}

// ownMemory returns the anonymous memory of a process in KB; zero if it has ended.
func ownMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}
