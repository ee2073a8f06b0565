package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// leavingHead plays an outage of the store (platform_down) in which the head of a group is
// taken away as planned (scale_in).
func leavingHead(d *deployment) (bool, error) {
	const (
		nodeCount = 6
		outage    = 4500 * time.Millisecond
		clients   = 18
		length    = 24 * time.Second
		outageAt  = 10 * time.Second
		// The longest streams of the site have 87 events.
		events      = 87
		eventLength = 65 * time.Millisecond
		streamTime  = events * eventLength
	)
	d.modelSize = 2
	for i, zone := range []string{zones[0], zones[0], zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]} {
		e := newModelEngine(fmt.Sprintf("i-7f3a91c%d", i), zone, modelService, d.store, d.record)
		e.events, e.eventTime = events, eventLength
		d.models = append(d.models, e)
	}
	for _, e := range d.models {
		e.others = d.models
	}
	if err := d.start(nodeCount, nil); err != nil {
		return false, err
	}
	if err := d.awaitGroup(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(length)
	done := make(chan error, 1)
	go func() {
		time.Sleep(outageAt)
		done <- d.outageWithLeavingHead(outage)
	}()
	all := d.load(clients, streamTime, end, 100*time.Millisecond, func(c *client) outcome {
		return c.post(routeDraft+"2f", fmt.Sprintf("Model: %s\r\nToken-Usage: 1460,435\r\nPrefix-Hash: 5c1e07a2:40,%s:1420\r\n", modelName, newID()), []byte("a prompt"), 8*time.Second)
	})
	if err := <-done; err != nil {
		return false, err
	}
	twos, whole := 0, 0
	for _, e := range d.models {
		e.mu.Lock()
		twos += e.twos
		e.mu.Unlock()
	}
	for _, o := range all.all {
		if o.err == nil && o.status == http.StatusOK {
			whole++
		}
	}
	d.record.say("%d streams, %d whole; %d joins of another group while the head was open", len(all.all), whole, twos)
	if whole == 0 {
		return false, errors.New("no stream was whole")
	}
	return twos > 0, nil
}

// outageWithLeavingHead takes a head of the first zone away, in an outage of the store.
func (d *deployment) outageWithLeavingHead(outage time.Duration) error {
	head := d.openHeadIn(zones[0])
	if head == nil {
		return errors.New("no group is open in the first zone")
	}
	if d.trouble {
		d.record.say("the store is down for %v", outage)
		d.store.setDown(true)
		time.AfterFunc(outage, func() {
			d.store.setDown(false)
			d.record.say("the store is back")
		})
	}
	time.Sleep(200 * time.Millisecond)
	head.leave()
	return nil
}

// openHeadIn returns the head of an open group in a zone; nil if there is none.
func (d *deployment) openHeadIn(zone string) *modelEngine {
	for _, e := range d.models {
		e.mu.Lock()
		open := e.zone == zone && e.group != nil && e.group.Rank == 0 && e.group.State == "open"
		e.mu.Unlock()
		if open {
			return e
		}
	}
	return nil
}
