package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// key is the key of the only tenant, host the host of all routes.
const (
	key  = "n2ctnfzs989anu6wsjnb"
	host = "ficu95.example"
)

// outcome is how one client attempt ended.
type outcome struct {
	id     string
	status int
	// promise is set if the status promises that the request has not run.
	promise    bool
	retryAfter time.Duration
	signature  string
	body       string
	err        error
	sentAt     time.Time
	// kept is set if the request was sent on a channel that had been used before.
	kept bool
}

// client is a client with one kept channel to a node.
type client struct {
	address string
	record  *record
	// rate is the rate of the client's link in bytes a second; zero for no limit.
	rate   int
	conn   net.Conn
	reader *bufio.Reader
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// post sends one request and reads its answer. Headers are extra header lines.
func (c *client) post(path, headers string, body []byte, deadline time.Duration) outcome {
	o := outcome{id: newID(), sentAt: time.Now(), kept: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			o.err = err
			return o
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.record.line("client sends request %s: POST %s, %d bytes, to %s", o.id, path, len(body), c.address)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n%sContent-Length: %d\r\n\r\n",
		path, host, o.id, deadline.Milliseconds(), key, headers, len(body))
	_, o.err = io.WriteString(c.conn, head)
	if o.err == nil && len(body) > 0 {
		o.err = c.write(body)
	}
	if o.err == nil {
		c.readAnswer(&o)
	}
	if o.err != nil {
		c.close()
		c.record.line("client of request %s gets no whole answer: %v", o.id, o.err)
		return o
	}
	c.record.line("client of request %s gets %d, signature %q", o.id, o.status, o.signature)
	return o
}

// write writes a body at the rate of the client's link.
func (c *client) write(body []byte) error {
	if c.rate == 0 {
		_, err := c.conn.Write(body)
		return err
	}
	const interval = 20 * time.Millisecond
	piece := c.rate / int(time.Second/interval)
	next := time.Now()
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := c.conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	return nil
}

// readAnswer reads one answer.
func (c *client) readAnswer(o *outcome) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.err = err
		return
	}
	o.status, o.body, o.signature = response.StatusCode, string(body), response.Header.Get("Response-Signature")
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		o.promise = true
	}
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(s * float64(time.Second))
	}
	if response.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// outcomes collects how the client attempts ended.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (o *outcomes) add(x outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.all = append(o.all, x)
}
