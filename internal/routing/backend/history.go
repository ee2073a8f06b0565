package backend

import (
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
	// RejectedBefore is set if one of the rejected requests had the ID of this one.
	RejectedBefore bool
}

// DistrustCause is why a connection is closed because of what came on it.
type DistrustCause string

// Causes to distrust a connection.
const (
	// DistrustOtherRequest means that a response belonged to another request.
	DistrustOtherRequest DistrustCause = "otherRequest"
	// DistrustUnsolicited means that bytes came that no request asked for.
	DistrustUnsolicited DistrustCause = "unsolicited"
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

// history is what a connection has carried.
type history struct {
	// requests is the number of requests.
	requests int
	// rejected holds the hashes of the IDs of the requests that the server rejected, at
	// most the last maxRejections.
	rejected []uint64
}

// maxRejections is the number of rejections that a connection remembers.
const maxRejections = 64

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// proves reports whether a response with an ID is proved to be that to the request with
// this ID: otherwise it may be a copy of an earlier rejection.
func (h *history) proves(id string) bool {
	return !slices.Contains(h.rejected, maphash.String(idSeed, id))
}

// reject records that the server rejected the request with an ID.
func (h *history) reject(id string) {
	if len(h.rejected) == maxRejections {
		h.rejected = slices.Delete(h.rejected, 0, 1)
	}
	h.rejected = append(h.rejected, maphash.String(idSeed, id))
}
