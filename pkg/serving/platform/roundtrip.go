package platform

import (
	"io"
	"net/http"
	"sync"

	"almondbay.example/serving/bounded"
)

// TransportConfig configures a Transport.
type TransportConfig struct {
	// Base holds the settings of connections. It is copied; its limits of the number of
	// connections do not apply.
	Base *http.Transport
	// MaxIdle is the number of idle connections that are kept.
	MaxIdle int
}

// Transport sends requests to one server, each on a connection that has carried no
// rejection, and bounds the heads of the responses.
//
// Responses have no ID, and a server may send a copy of a rejection at any later moment
// while its connection is open. A copy would be taken for the response to a write that was
// applied, and the one that is due for the response to the request after it. So a
// connection carries nothing after a response that is no success, and the first rejection
// on it answers the request that was sent last.
type Transport struct {
	config TransportConfig

	mu sync.Mutex
	// idle holds the connections that no request uses, the last used one at the end.
	idle []*bounded.Transport
}

// NewTransport returns a Transport without connections.
func NewTransport(c TransportConfig) *Transport {
	return &Transport{config: c}
}

// RoundTrip implements http.RoundTripper. The connection is in use until the body of the
// response is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	connection := t.take()
	response, err := connection.RoundTrip(r)
	if err != nil {
		connection.CloseIdleConnections()
		return nil, err
	}
	response.Body = &pooledBody{
		ReadCloser: response.Body,
		release:    func() { t.release(connection, response.StatusCode < http.StatusMultipleChoices) },
	}
	return response, nil
}

// take returns an idle connection, or a new one, that no other request uses. A
// http.Transport that carries one request at a time has one connection; if it carried
// several, it would offer the connection to the next one before the status is known.
func (t *Transport) take() *bounded.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()

	last := len(t.idle) - 1
	if last < 0 {
		return bounded.NewTransport(t.config.Base)
	}
	connection := t.idle[last]
	t.idle = t.idle[:last]
	return connection
}

// release keeps a connection for the next request, or closes it.
func (t *Transport) release(connection *bounded.Transport, keep bool) {
	if keep && t.put(connection) {
		return
	}
	connection.CloseIdleConnections()
}

// put adds an idle connection and reports whether there was room for it.
func (t *Transport) put(connection *bounded.Transport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if len(t.idle) >= t.config.MaxIdle {
		return false
	}
	t.idle = append(t.idle, connection)
	return true
}

// pooledBody is the body of a response whose connection is released when it is closed.
type pooledBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
