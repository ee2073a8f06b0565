package quarantine

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"almondbay.example/core/attempt"
)

// Mark is something that requests have in common and that crashes may be blamed on:
// their whole content, or a part of their prompts.
type Mark struct {
	Fingerprint attempt.Fingerprint
	// Quick is a hash that is cheap to compute and the same on all nodes. Requests
	// with different hashes are different; others are told apart by Fingerprint.
	Quick uint64
	// Part is the ID of the part of a prompt; empty if the mark is the content.
	Part string
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID string
	// Quick is the cheap hash of the part's mark.
	Quick uint64
}

// partDomain keeps the hashes of parts apart from those of contents.
const partDomain = "part of a prompt"

// NewParts returns the parts with the given IDs.
func NewParts(ids []string) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, Part{ID: id, Quick: quickHash([]byte(partDomain), []byte(id))})
	}
	return parts
}

// Mark returns the mark of the part.
func (p Part) Mark() Mark {
	return Mark{Fingerprint: attempt.NewFingerprint([]byte(partDomain), []byte(p.ID)), Quick: p.Quick, Part: p.ID}
}

// Content is what a request has in common with others. Two with the same workspace,
// path and body are the same one, repeated by its caller under another ID. Its hashes
// are computed once, when they are first needed. Only its fields are safe for concurrent
// use.
type Content struct {
	// Workspace is empty if the request needs no key.
	Workspace string
	// Path is escaped as the caller sent it, without the query.
	Path string
	// Body is in pieces; how it is divided does not matter.
	Body [][]byte
	// Parts lists the parts of the prompt that other requests may share.
	Parts []Part

	// quick and fingerprint are nil until they are computed.
	quick       *uint64
	fingerprint *attempt.Fingerprint
}

// Quick returns the cheap hash of the whole content.
func (c *Content) Quick() uint64 {
	if c.quick == nil {
		sum := quickHashOfPieces([][]byte{[]byte(c.Workspace)}, [][]byte{[]byte(c.Path)}, c.Body)
		c.quick = &sum
	}
	return *c.quick
}

// quickHash returns the cheap hash of some texts.
func quickHash(texts ...[]byte) uint64 {
	pieces := make([][][]byte, 0, len(texts))
	for _, text := range texts {
		pieces = append(pieces, [][]byte{text})
	}
	return quickHashOfPieces(pieces...)
}

// quickHashOfPieces is like quickHash for texts that are in pieces.
func quickHashOfPieces(texts ...[][]byte) uint64 {
	h := xxhash.New()
	attempt.HashTexts(h, texts...)
	return h.Sum64()
}

// Mark returns the mark of the whole content.
func (c *Content) Mark() Mark {
	if c.fingerprint == nil {
		f := attempt.NewFingerprintOfPieces([][]byte{[]byte(c.Workspace)}, [][]byte{[]byte(c.Path)}, c.Body)
		c.fingerprint = &f
	}
	return Mark{Fingerprint: *c.fingerprint, Quick: c.Quick()}
}

// Marks returns the marks of the content and of its parts.
func (c *Content) Marks() []Mark {
	marks := []Mark{c.Mark()}
	for _, p := range c.Parts {
		marks = append(marks, p.Mark())
	}
	return marks
}

// shownBytes is the number of bytes of a fingerprint that logs show.
const shownBytes = 8

// Short returns the start of a fingerprint for logs.
func Short(f attempt.Fingerprint) string {
	return hex.EncodeToString(f[:shownBytes])
}
