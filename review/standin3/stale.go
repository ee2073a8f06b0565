package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Keys and paths of the manifests of this case: version 8 takes keyGone away and adds pathNew.
const (
	keyGone = "anfqasnmgkcuyj8pjbvk"
	pathNew = "/lohu930/2f"
)

// keysConfig returns a version of the manifest.
func keysConfig(version int) []byte {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "routeKind": "idempotent", "timeoutMs": 2000, "sloMs": 300, "priority": 2,
			"service": "workshop", "maxAttempts": 2, "public": false,
		}
	}
	keys, routes := []string{apiKey, keyGone}, []any{route("r-lookup", "/puxa403/")}
	if version >= 8 {
		keys, routes = keys[:1], append(routes, route("r-new", "/lohu930/"))
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "workshop", "healthPath": "/healthz", "maxConns": 121, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}},
	})
	return body
}

// old reports whether a node handles requests as only version 7 allows.
func (w *world) old(n *node) bool {
	taken := w.sendWith(n, fmt.Sprintf(pathSound, 1), keyGone) == http.StatusOK
	missing := w.sendWith(n, pathNew, apiKey) == http.StatusNotFound
	return taken || missing
}

const (
	// rewriteDelay is the time from the store's return until the operator's manifest is
	// written again.
	rewriteDelay = 4 * time.Second
	// awayTime is how long the store is away before a machine is killed, restartTime how long
	// it is away from the restart of the machine on.
	awayTime, restartTime = 1500 * time.Millisecond, time.Second
	// copyAge is the age of the copy, in which the manifest has version 7.
	copyAge = 4 * time.Second
	// checks is the number of checks of each machine, a second apart.
	checks = 10
)

// stale plays a drill of the store in which a machine restarts. It returns whether the rule
// held.
func stale(w *world, trouble string) (held bool, verdict string) {
	stop := make(chan struct{})
	defer close(stop)
	go w.sound(stop)
	time.Sleep(4 * time.Second)
	w.record.note("the operator writes version 8: key %s is taken away, the route of %s is added", keyGone, pathNew)
	w.store.put("op", "config", keysConfig(8))
	time.Sleep(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if w.old(n) {
			w.record.fail("machine %s does not have version 8", n.name)
			return false, ""
		}
	}
	// By the hash of its name it reads the tables from edge-zone-a-2, not from the store.
	victim := w.nodes[2]
	drills, kills := trouble == troubleAll || trouble == troubleDrill, trouble == troubleAll || trouble == troubleKill
	if drills {
		w.record.note("drill: the store is away")
		w.store.setAway(true, false)
	}
	time.Sleep(awayTime)
	if kills {
		w.record.note("machine %s is killed", victim.name)
		victim.kill()
		time.Sleep(200 * time.Millisecond)
		if err := victim.start(); err != nil {
			w.record.fail("start: %v", err)
			return false, ""
		}
	}
	time.Sleep(restartTime)
	if drills {
		w.store.restore(copyAge)
		w.record.note("drill: the store is back, from a copy that was %v old when it went away, in era %d", copyAge, w.store.era)
		time.Sleep(rewriteDelay)
		w.store.put("op", "config", keysConfig(8))
		w.record.note("the operator's version 8 is written again, and acknowledged")
	}
	acked := w.record.now()
	for w.record.now() < acked+6000 {
		time.Sleep(50 * time.Millisecond)
	}
	w.record.note("six seconds later, all machines are in touch")
	stuck := 0
	for range checks {
		for _, n := range w.nodes {
			if w.old(n) {
				stuck++
			}
		}
		time.Sleep(time.Second)
	}
	verdict = fmt.Sprintf("later than 6 s after the ack of version 8, machines handled requests as only version 7 allows in %d of %d checks", stuck, checks*len(w.nodes))
	return stuck == 0, verdict
}
