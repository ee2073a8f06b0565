package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// apiKey and tenant are those of the manifest.
const (
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
	host   = "ficu95.example"
)

// answer is what a client got.
type answer struct {
	request string
	sentAt  time.Time
	endedAt time.Time
	status  int
	body    string
	err     error
}

// client sends requests to a node, on channels that it keeps.
type client struct {
	record *record
	http   *http.Client

	mu      sync.Mutex
	answers []answer
}

var requestCount atomic.Uint64

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 12 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send sends one request and returns what came of it. It never repeats it.
func (c *client) send(ctx context.Context, n *node, method, path string, body []byte, budget time.Duration, more map[string]string) answer {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	a := answer{request: id}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	// A body of its own type keeps the client from sending the request again by itself.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		a.err = err
		return a
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", apiKey)
	for k, v := range more {
		r.Header.Set(k, v)
	}
	a.sentAt = time.Now()
	c.record.line("request %s (%s %s) sent to %s", id, method, path, n.name)
	response, err := c.http.Do(r)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, string(got)
	}
	a.err, a.endedAt = err, time.Now()
	if err != nil {
		c.record.line("request %s: the client gets no complete answer: %v", id, err)
	} else {
		c.record.line("request %s: the client gets %d, body %.60q", id, a.status, a.body)
	}
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// counts returns the number of answers by status, zero for none.
func (c *client) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()

	n := map[int]int{}
	for _, a := range c.answers {
		n[a.status]++
	}
	return n
}
