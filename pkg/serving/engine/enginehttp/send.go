package enginehttp

import (
	"net"
	"net/http"

	"almondbay.example/serving/engine/enginewire"
)

// send is one send of an attempt on a connection.
type send struct {
	attempt string
	// connection is nil until one is available.
	connection net.Conn
	// reused is set if the connection has carried an earlier request.
	reused bool
}

// isAnsweredBy reports whether a response is proved to be that to the send. It must
// be asked before anything else of the response is read.
//
// An engine may send a copy of a rejection at any later moment on its connection.
// The attempt in a response is the proof, as it is unique to a send: net/http sends an
// attempt again by itself only if nothing of it was written. A response that names
// no attempt is proved only if the connection has carried no other request.
func (s *send) isAnsweredBy(r *http.Response) bool {
	named := r.Header.Get(enginewire.HeaderAttempt)
	if named == "" {
		return !s.reused
	}
	return named == s.attempt
}

// distrust closes the connection of a response that is not proved: the next request
// on it could read the response that is still due.
func (s *send) distrust(r *http.Response) {
	_ = s.connection.Close()
	_ = r.Body.Close()
}
