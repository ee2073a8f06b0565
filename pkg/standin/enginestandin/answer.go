package enginestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"almondbay.example/serving/engine/enginewire"
)

// answer writes the response to one generation request.
type answer struct {
	server  *Server
	context echo.Context
	request generationRequest
	prompt  string
	// length is the number of tokens in the complete answer.
	length int
	// offset is the index of the first token to send when a stream resumes.
	offset int
	chat   bool
}

func (s *Server) newAnswer(c echo.Context, g generationRequest) *answer {
	prompt := g.prompt()
	offset, err := strconv.Atoi(c.Request().Header.Get(enginewire.HeaderOffset))
	if err != nil {
		offset = 0
	}
	a := &answer{
		server:  s,
		context: c,
		request: g,
		prompt:  prompt,
		length:  Length(prompt, g.Seed, g.MaxTokens),
		offset:  offset,
		chat:    c.Request().URL.Path == enginewire.PathChatCompletions,
	}
	header := c.Response().Header()
	enginewire.SetIdentity(header, s.member.Identity())
	header.Set(enginewire.HeaderAttempt, c.Request().Header.Get(enginewire.HeaderAttempt))
	if s.member.config.BeforeHeaders != nil {
		s.member.config.BeforeHeaders(header)
	}
	return a
}

// writeJSON writes the complete answer as one JSON object.
func (a *answer) writeJSON() error {
	config := a.server.member.config
	if !a.server.wait(a.context, config.FirstToken) {
		return nil
	}
	for range a.length {
		if !a.server.wait(a.context, config.TokenInterval) {
			return nil
		}
	}
	text := Text(a.prompt, a.request.Seed, a.request.MaxTokens)
	reason := "stop"
	body := a.completion(text, &reason)
	body.Usage = &usage{
		PromptTokens:     len(a.prompt),
		CompletionTokens: a.length,
		TotalTokens:      len(a.prompt) + a.length,
	}
	if a.chat {
		body.Object = "chat.completion"
		body.Choices[0].Message = &message{Role: "assistant", Content: text}
		body.Choices[0].Delta = nil
	}
	return a.context.JSON(http.StatusOK, body)
}

// writeStream writes the answer as server-sent events, ending with the data
// [DONE].
func (a *answer) writeStream() error {
	config := a.server.member.config
	response := a.context.Response()
	response.Header().Set("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	if !a.server.wait(a.context, config.FirstToken) {
		return nil
	}
	for i := a.offset; i < a.length; i++ {
		if i > a.offset && !a.server.wait(a.context, config.TokenInterval) {
			return nil
		}
		if config.BeforeToken != nil && config.BeforeToken(a.context.Request(), i) != nil {
			panic(http.ErrAbortHandler)
		}
		if err := a.writeEvent(i, a.completion(Token(a.prompt, a.request.Seed, i), nil)); err != nil {
			return err
		}
	}
	reason := "stop"
	if err := a.writeEvent(-1, a.completion("", &reason)); err != nil {
		return err
	}
	_, err := response.Write([]byte("data: [DONE]\n\n"))
	response.Flush()
	return err
}

// writeEvent writes one server-sent event. Its ID is the index of its token and
// the number of tokens in the event. A negative index means that the event
// carries no token: its ID is then the length of the answer, with zero tokens.
func (a *answer) writeEvent(index int, body completion) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response := a.context.Response()
	id := fmt.Sprintf("id: %d+1\n", index)
	switch {
	case a.server.member.config.OmitEventIDs:
		id = ""
	case index < 0:
		id = fmt.Sprintf("id: %d+0\n", a.length)
	}
	if _, err := response.Write([]byte(id + "data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	response.Flush()
	return nil
}

// completion returns a chunk with text. The finish reason is nil except in the
// last chunk.
func (a *answer) completion(text string, reason *string) completion {
	body := completion{
		ID:      "cmpl-" + a.context.Request().Header.Get(enginewire.HeaderRequest),
		Object:  "text_completion",
		Created: a.server.member.config.Clock.Now().Unix(),
		Model:   a.request.Model,
		Choices: []choice{{FinishReason: reason}},
	}
	if a.chat {
		body.Object = "chat.completion.chunk"
		body.Choices[0].Delta = &message{Role: "assistant", Content: text}
		return body
	}
	body.Choices[0].Text = text
	return body
}
