package caller

import (
	"encoding/json"
	"hash/fnv"

	"github.com/zeebo/errs"

	"almondbay.example/core/attempt"
)

// wireProblem is the body of an error response in OpenAI format.
type wireProblem struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
	// KeyOutcome is omitted unless it may differ from Outcome.
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

// wireRequest is the part of a generation request that the gateway parses.
type wireRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// generation holds the properties of a generation request that the gateway
// uses.
type generation struct {
	model  string
	stream bool
	// maxTokens is the caller's limit on the length of the answer; zero for
	// none.
	maxTokens int
	// promptBytes is the length of the prompt as JSON.
	promptBytes int
	// prefix is a hash of the first message if others follow, which
	// applications often use for the same instructions in all requests; zero
	// otherwise.
	prefix uint64
}

// errModelMissing reports a generation request without a model.
var errModelMissing = errs.New("request body has no model")

// parseGeneration parses a generation request.
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

// prefixOf hashes the first of several messages. The hash is the same on all
// nodes.
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
