package caller

import (
	"encoding/json"
	"hash/fnv"

	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
)

// wireProblem is the body of an error answer in OpenAI form.
type wireProblem struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	// KeyOutcome is left out unless it may differ from Outcome.
	KeyOutcome string `json:"keyOutcome,omitempty"`
}

func wireProblemOf(p *problem) wireProblem {
	w := wireProblem{Error: wireError{
		Message: p.message,
		Type:    "almondbay",
		Code:    p.code,
		Outcome: p.outcome.String(),
	}}
	if p.keyUnknown {
		w.Error.KeyOutcome = attempt.Unknown.String()
	}
	return w
}

// wireRequest is the part of a generation request that the gateway reads.
type wireRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// generation is what the gateway needs to know of a generation request.
type generation struct {
	model  string
	stream bool
	// maxTokens is zero when the caller sets no bound.
	maxTokens int
	// promptBytes is the length of the prompt as JSON.
	promptBytes int
	// prefix is a hash of the first message if others follow, such as the one
	// that all requests of an application begin with; zero otherwise.
	prefix uint64
}

// errModelMissing reports a generation request that names no model.
var errModelMissing = errs.New("the body names no model")

// parseGeneration reads a generation request.
func parseGeneration(body []byte) (generation, error) {
	var w wireRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return generation{}, Error.Wrap(err)
	}
	if w.Model == "" {
		return generation{}, Error.Wrap(errModelMissing)
	}
	return generation{
		model:       w.Model,
		stream:      w.Stream,
		maxTokens:   max(0, w.MaxTokens, w.MaxCompletionTokens),
		promptBytes: len(w.Messages) + len(w.Prompt),
		prefix:      prefixOf(w.Messages),
	}, nil
}

// prefixOf hashes the first of several messages. All nodes give the same hash.
func prefixOf(messages json.RawMessage) uint64 {
	var list []json.RawMessage
	if err := json.Unmarshal(messages, &list); err != nil || len(list) < 2 {
		return 0
	}
	digest := fnv.New64a()
	_, _ = digest.Write(list[0])
	return digest.Sum64()
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
