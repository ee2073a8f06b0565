package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sent is a stream that a client asked for.
type sent struct {
	outcome
	node            *node
	sentAt, endedAt time.Time
}

// silentStream plays the planned stop of one of three nodes (roll_term) in a deployment with
// one replica group, whose head preempts its newest streams in the middle.
func silentStream(d *deployment) (bool, error) {
	const (
		clients = 15
		length  = 20 * time.Second
		stopAt  = 7 * time.Second
		grace   = 8 * time.Second
	)
	d.modelSize = 2
	for i := range d.modelSize {
		e := newModelEngine(fmt.Sprintf("i-7f3a91c%d", i), zones[0], modelService, d.store, d.record)
		e.preemptAt, e.pauseTime = 10, 1800*time.Millisecond
		d.models = append(d.models, e)
	}
	if err := d.start(3, nil); err != nil {
		return false, err
	}
	if err := d.awaitGroup(20 * time.Second); err != nil {
		return false, err
	}
	start := time.Now()
	var mu sync.Mutex
	var all []sent
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			k := i % len(d.nodes)
			c := &client{address: d.nodes[k].frontend, record: d.record}
			defer c.close()
			for time.Since(start) < length {
				s := sent{node: d.nodes[k], sentAt: time.Now()}
				s.outcome = c.post(routeDraft+"2f", fmt.Sprintf("Model: %s\r\nToken-Usage: 1460,170\r\nPrefix-Hash: 5c1e07a2:40,%s:1420\r\n", modelName, newID()), []byte("a prompt"), 8*time.Second)
				s.endedAt = time.Now()
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				if s.err != nil && strings.Contains(s.err.Error(), "refused") {
					// The platform forwards new channels to another node.
					k = (k + 1) % len(d.nodes)
					c.address = d.nodes[k].frontend
				}
				time.Sleep(max(s.retryAfter, 50*time.Millisecond))
			}
		})
	}
	var stopped time.Time
	stopping := d.nodes[0]
	if d.trouble {
		time.Sleep(stopAt)
		stopped = time.Now()
		if err := d.stopPlanned(stopping, grace); err != nil {
			return false, err
		}
	}
	g.Wait()
	return d.judgeStreams(all, stopping, stopped, grace)
}

// stopPlanned sends SIGTERM to a node and starts it again once it has ended.
func (d *deployment) stopPlanned(n *node, grace time.Duration) error {
	at := time.Now()
	d.record.say("SIGTERM to %s", n.name)
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.exited:
		d.record.say("%s has ended %.1f s after it", n.name, time.Since(at).Seconds())
	case <-time.After(grace):
		return errors.New("the node has not ended in its time")
	}
	n.process = nil
	return n.start(d.root, d.dir)
}

// awaitGroup waits until a replica group is open.
func (d *deployment) awaitGroup(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, e := range d.models {
			e.mu.Lock()
			open := e.group != nil && e.group.State == "open"
			e.mu.Unlock()
			if open {
				// Nodes read that from the store.
				time.Sleep(2 * time.Second)
				return nil
			}
		}
	}
	return fmt.Errorf("no replica group opened in %v", limit)
}

// judgeStreams checks LOST around planned work: a node that was sent SIGTERM has read a whole
// request and passed it on to an engine, and the channel ends without a complete answer, from
// the SIGTERM until a second after the grace period. Not counted are streams that the engine
// broke off (it never does), that reached their time budget or the route's timeout, or that
// the engine still worked on in the last sixth of the grace period.
func (d *deployment) judgeStreams(all []sent, stopping *node, stopped time.Time, grace time.Duration) (bool, error) {
	lost, whole, cutElsewhere := 0, 0, 0
	for _, s := range all {
		ran, closedEarly := false, false
		for _, e := range d.models {
			e.mu.Lock()
			f, isFinished := e.finished[s.id]
			ran = ran || isFinished
			closedEarly = closedEarly || isFinished && !f
			e.mu.Unlock()
		}
		complete := s.err == nil && s.status == http.StatusOK && strings.Count(s.body, "data: ") == modelEvents
		switch {
		case complete:
			whole++
		case s.err == nil || !ran || !closedEarly:
		case stopped.IsZero() || s.node != stopping || s.endedAt.Before(stopped) || s.endedAt.After(stopped.Add(grace*5/6)) || s.endedAt.Sub(s.sentAt) >= 8*time.Second:
			cutElsewhere++
		default:
			lost++
			d.record.say("LOST: stream %s, sent %.1f s after the SIGTERM, was cut off %.1f s after it, %.1f s after it was sent: %v",
				s.id, s.sentAt.Sub(stopped).Seconds(), s.endedAt.Sub(stopped).Seconds(), s.endedAt.Sub(s.sentAt).Seconds(), s.err)
		}
	}
	d.record.say("%d streams, %d whole; %d cut off around the planned stop, %d at other times or nodes, which the rule does not count", len(all), whole, lost, cutElsewhere)
	if whole == 0 {
		return false, errors.New("no stream was whole")
	}
	return lost > 0, nil
}
