package main

import (
	"errors"
	"sync/atomic"
	"time"
)

// lostAnswer plays answers that are lost with a reset of their channel (answer_lost, how
// reset), under requests without a body that have an idempotency key.
func lostAnswer(d *deployment) (bool, error) {
	const (
		nth    = 20 // x = 0.05
		length = 4 * time.Second
	)
	var engines []*engine
	for i, z := range zones {
		engines = append(engines, newEngine([]string{"i-7f3a91c2", "i-02d9e6b4", "i-5ef21232"}[i], z, service, 6, 24, d.store, d.record))
	}
	var lost atomic.Int64
	if err := d.start(3, engines); err != nil {
		return false, err
	}
	from := time.Now().Add(2 * time.Second)
	if d.trouble {
		// One of three: share = 0.5 at most.
		lose := window(from, length, nth)
		engines[0].loseAnswer = func(id string) bool {
			yes := lose(id)
			if yes {
				lost.Add(1)
			}
			return yes
		}
	}
	all := d.load(24, 0, from.Add(length+2*time.Second), 100*time.Millisecond, func(c *client) outcome {
		return c.post(routeBook+"2f", "Idempotency-Key: "+newID()+"\r\n", nil, 4*time.Second)
	})
	d.record.say("%d answers lost", lost.Load())
	if d.trouble && lost.Load() == 0 {
		return false, errors.New("no answer was lost")
	}
	return d.judgeRuns(all), nil
}
