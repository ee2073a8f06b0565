package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// lateRejection plays answers that are sent a second time, late (garble, how extra late),
// at engines that are full at times and reject requests.
func lateRejection(d *deployment) (bool, error) {
	const (
		nth    = 34 // x = 0.03
		length = 5 * time.Second
	)
	var engines []*engine
	for i, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-5ef21232", "i-0d8f4879", "i-9611a142"} {
		engines = append(engines, newEngine(id, zones[i%len(zones)], service, 6, 3, d.store, d.record))
	}
	if err := d.start(3, engines); err != nil {
		return false, err
	}
	var repeated atomic.Int64
	from := time.Now().Add(2 * time.Second)
	if d.trouble {
		// Three of five: share = 0.6.
		for _, e := range engines[:3] {
			e.repeatAnswer = fewRejections(from, length, nth, &repeated)
		}
	}
	all := d.load(48, 0, from.Add(length+2*time.Second), 30*time.Millisecond, func(c *client) outcome {
		return c.post(routeBook+"2f", "", []byte("a booking of some bytes"), 4*time.Second)
	})
	answers, rejections := 0, 0
	for _, e := range engines {
		answers, rejections = answers+e.answers, rejections+e.rejections
	}
	d.record.say("%d answers of engines, %d of them rejections; %d answers were to be sent again", answers, rejections, repeated.Load())
	if d.trouble && repeated.Load() == 0 {
		return false, errors.New("no answer was sent again")
	}
	return d.judgeRuns(all), nil
}

// fewRejections returns a function that chooses rejections within a time window, as long as
// they are at most one in nth of all answers in it.
func fewRejections(from time.Time, length time.Duration, nth int, chosen *atomic.Int64) func(string, bool) bool {
	var mu sync.Mutex
	answers, own := 0, 0
	return func(_ string, rejection bool) bool {
		mu.Lock()
		defer mu.Unlock()

		if since := time.Since(from); since < 0 || since >= length {
			return false
		}
		answers++
		if !rejection || (own+1)*nth > answers {
			return false
		}
		own++
		chosen.Add(1)
		return true
	}
}
