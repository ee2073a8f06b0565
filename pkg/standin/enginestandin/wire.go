package enginestandin

import "strings"

// generationRequest has the fields of an OpenAI completion or chat request that
// the fake engine reads.
type generationRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Seed      int64     `json:"seed"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the messages of a chat request joined by newlines, or the
// prompt of a completion request.
func (g generationRequest) prompt() string {
	if len(g.Messages) == 0 {
		return g.Prompt
	}
	lines := make([]string, 0, len(g.Messages))
	for _, m := range g.Messages {
		lines = append(lines, m.Role+": "+m.Content)
	}
	return strings.Join(lines, "\n")
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a complete answer or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}
