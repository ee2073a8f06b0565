package caller

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"

	"almondbay.example/core/attempt"
)

const (
	// maxAnswersBytes bounds the total size of the buffers of all answers in
	// flight, without the first unsharedBytes of each.
	maxAnswersBytes = 512 << 20
	// unsharedBytes is the size of a buffer that any answer may have.
	unsharedBytes = 64 << 10
	// initialAnswerBytes is the initial size of the buffer of an answer.
	initialAnswerBytes = 4 << 10
)

// errAnswersMemory reports that the answers in flight exceed maxAnswersBytes.
var errAnswersMemory = Error.New("the answers of the requests in flight exceed the memory limit")

// answerShare is the part of maxAnswersBytes that the buffer of one answer holds.
type answerShare struct {
	answers *semaphore.Weighted
	held    int64
}

func (l *limits) newAnswerShare() *answerShare {
	return &answerShare{answers: l.answers}
}

// reserve reserves memory for a buffer of the given size. It returns
// errAnswersMemory if there is none.
func (s *answerShare) reserve(size int) error {
	more := int64(size) - unsharedBytes - s.held
	if more <= 0 {
		return nil
	}
	if !s.answers.TryAcquire(more) {
		return errAnswersMemory
	}
	s.held += more
	return nil
}

// release returns the reserved memory.
func (s *answerShare) release() {
	s.answers.Release(s.held)
	s.held = 0
}

// grow returns the buffer with a capacity of at least size bytes.
func (s *answerShare) grow(buffer []byte, size int) ([]byte, error) {
	if size <= cap(buffer) {
		return buffer, nil
	}
	size = max(size, initialAnswerBytes, min(2*cap(buffer), maxBufferedBytes+1))
	if err := s.reserve(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// readAll reads an answer to its end, or one byte more than maxBufferedBytes.
func (s *answerShare) readAll(r io.Reader) ([]byte, error) {
	var buffer []byte
	for len(buffer) <= maxBufferedBytes {
		grown, err := s.grow(buffer, len(buffer)+1)
		if err != nil {
			return nil, err
		}
		n, err := r.Read(grown[len(grown):cap(grown)])
		buffer = grown[:len(grown)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// answersMemoryProblem returns the problem of a request whose answer has no
// memory.
func answersMemoryProblem(o attempt.Outcome) *problem {
	p := overloadedProblem("the answers of the requests in flight exceed the memory limit")
	p.outcome = o
	return p
}
