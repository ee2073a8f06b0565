package enginestandin

import "strings"

// generation is the part of an OpenAI request that the stand-in reads.
type generation struct {
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

// prompt joins the messages of a chat, or returns the prompt of a completion.
func (g generation) prompt() string {
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

// completion is a whole answer or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}
