package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crashingPart is the part of a prompt that crashes each engine that begins to write.
const crashingPart = "bad0bad0"

// defaultParts is the number of parts of a prompt, the last of which is the request's own.
const defaultParts = 67

// firstPart plays requests that share their first part, which crashes each engine that begins
// to write an answer on it, beside sound requests with the same other parts.
func firstPart(d *deployment) (bool, error) {
	const (
		length   = 45 * time.Second
		downTime = 3 * time.Second
		calm     = 10 * time.Second
	)
	parts := defaultParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	bad := func(r *http.Request) bool { return strings.HasPrefix(r.Header.Get("Prefix-Hash"), crashingPart+":") }
	d.modelSize = 1
	for i := range 9 {
		e := newModelEngine(fmt.Sprintf("i-7f3a91c%d", i), zones[i%len(zones)], modelService, d.store, d.record)
		e.downTime = downTime
		e.onArrival = func(r *http.Request) {
			if bad(r) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				d.record.line("request %s with the crashing part reaches engine %s", r.Header.Get("Attempt-Id"), e.id)
			}
		}
		e.crashes = func(r *http.Request) bool {
			if !bad(r) {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			return true
		}
		d.models = append(d.models, e)
	}
	if err := d.start(3, nil); err != nil {
		return false, err
	}
	if err := d.awaitGroup(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(length)
	var g sync.WaitGroup
	if d.trouble {
		g.Go(func() {
			time.Sleep(calm)
			d.sendCrashing(end, parts)
		})
	}
	sound := d.load(9, 0, end, 300*time.Millisecond, func(c *client) outcome {
		return c.post(routeDraft+"2f", prompt("5c1e07a2", parts), []byte("a prompt"), 6*time.Second)
	})
	g.Wait()
	return d.judgeParts(parts, sound, arrivals, crashes)
}

// sendCrashing sends requests with the crashing part to any node until the end.
func (d *deployment) sendCrashing(end time.Time, parts int) {
	const interval = 400 * time.Millisecond
	var g sync.WaitGroup
	defer g.Wait()
	for k := 0; time.Now().Before(end); k++ {
		g.Go(func() {
			c := &client{address: d.nodes[rand.IntN(len(d.nodes))].frontend, record: d.record}
			c.post(routeDraft+"2f", prompt(crashingPart, parts), fmt.Appendf(nil, "prompt %d", k), 6*time.Second)
			c.close()
		})
		time.Sleep(interval)
	}
}

// prompt returns the headers of a request whose prompt has some parts: the given first one,
// shared ones, and its own.
func prompt(first string, parts int) string {
	list := []string{first + ":40"}
	for i := 1; i < parts-1; i++ {
		list = append(list, fmt.Sprintf("5c1e%04x:20", i))
	}
	return "Model: " + modelName + "\r\nToken-Usage: 1460,170\r\nPrefix-Hash: " + strings.Join(append(list, newID()+":80"), ",") + "\r\n"
}

// judgeParts checks BUDGET and LOST of parts of prompts that crash engines.
func (d *deployment) judgeParts(parts int, sound *outcomes, arrivals, crashes []time.Time) (bool, error) {
	const (
		contact = 3 * time.Second
		needed  = 5
	)
	ran := map[string]bool{}
	for _, e := range d.models {
		e.mu.Lock()
		for id := range e.finished {
			ran[id] = true
		}
		e.mu.Unlock()
	}
	later := 0
	// decisive is the fifth crash, or the last if there are fewer.
	var decisive time.Time
	if n := len(crashes); n > 0 {
		decisive = crashes[min(n, needed)-1]
		if n >= needed {
			for _, at := range arrivals {
				if at.After(decisive.Add(contact)) {
					later++
				}
			}
		}
	}
	var before, after share
	for _, o := range sound.all {
		switch {
		case len(crashes) == 0 || o.sentAt.Before(crashes[0].Add(-time.Second)):
			before.add(ran[o.id])
		case o.sentAt.After(decisive.Add(2 * contact)):
			after.add(ran[o.id])
		}
	}
	d.record.say("prompts of %d parts; %d requests with the crashing part reached engines, %d crashes; %d reached engines later than %v after crash %d",
		parts, len(arrivals), len(crashes), later, contact, needed)
	d.record.say("sound requests that began: %v before the crashes, %v from %v after crash %d", before, after, 2*contact, min(len(crashes), needed))
	if before.all < 20 {
		return false, errors.New("too few sound requests")
	}
	budget := later > 3
	lost := after.all >= 20 && after.of()*2 < before.of()
	d.record.say("BUDGET broken: %v; LOST broken: %v", budget, lost)
	return budget || lost, nil
}

// share counts requests and those that began to run at an engine.
type share struct{ began, all int }

func (s *share) add(began bool) {
	s.all++
	if began {
		s.began++
	}
}

func (s share) of() float64 { return float64(s.began) / float64(max(1, s.all)) }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.began, s.all) }
