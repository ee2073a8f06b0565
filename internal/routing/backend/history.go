package backend

import (
	"errors"
	"hash/maphash"
	"slices"
)

// Send describes the connection that a request is sent on, as it was before.
type Send struct {
	// Connection numbers the connections of a client from 1; zero if there was none.
	Connection uint64
	// Requests is the number of requests that the connection has carried, Rejections the
	// number of those that the server rejected as not run.
	Requests, Rejections int
	// PassedOver is the number of kept connections that were closed before the request was
	// sent on them: by the server, or because of what had come on them, as a rejection of
	// the same ID.
	PassedOver int
}

// DistrustCause is why a connection is closed because of what came on it.
type DistrustCause string

// Causes to distrust a connection.
const (
	// DistrustOtherRequest means that a response belonged to another request.
	DistrustOtherRequest DistrustCause = "otherRequest"
	// DistrustUnsolicited means that bytes came that no request asked for.
	DistrustUnsolicited DistrustCause = "unsolicited"
	// DistrustRejectedBefore means that a request was to be sent whose ID the server had
	// rejected on the connection.
	DistrustRejectedBefore DistrustCause = "rejectedBefore"
	// DistrustManyRejections means that the server rejected as many requests as a
	// connection remembers.
	DistrustManyRejections DistrustCause = "manyRejections"
)

// Errors of connections that are closed because of the rejections on them.
var (
	errRejectedBefore = errors.New("server rejected a request with the same ID on the connection")
	errManyRejections = errors.New("server rejected as many requests on the connection as it may")
)

// verdict is what a response shows about its request.
type verdict int

const (
	// verdictOther means that there was no response, or one that is no rejection.
	verdictOther verdict = iota
	// verdictRejected means that the server states that the request has not run.
	verdictRejected
	// verdictForeign means that the response belongs to another request.
	verdictForeign
)

// history is what a connection has carried. It decides whether a response proves what it
// says about the request that was sent last.
//
// A server may send a copy of a rejection at any later moment while the connection is open.
// The ID in a response tells which request it answers, unless a request with that ID was
// rejected on the connection before. So no ID is sent on a connection on which it was
// rejected, and a connection whose rejections can't all be remembered takes no more requests.
type history struct {
	// requests is the number of requests.
	requests int
	// rejected holds the hashes of the IDs of all requests that the server rejected, at
	// most maxRejections.
	rejected []uint64
}

// maxRejections is the number of rejections after which a connection is closed.
const maxRejections = 64

// idSeed is the seed of the hashes of IDs. Two IDs with one hash cost a connection.
var idSeed = maphash.MakeSeed()

// proves reports whether a response with an ID will be that to the request with this ID,
// if it is sent on the connection.
func (h *history) proves(id string) bool {
	return !slices.Contains(h.rejected, maphash.String(idSeed, id))
}

// reject records that the server rejected the request with an ID, and reports whether the
// connection may take further requests.
func (h *history) reject(id string) bool {
	h.rejected = append(h.rejected, maphash.String(idSeed, id))
	return len(h.rejected) < maxRejections
}
