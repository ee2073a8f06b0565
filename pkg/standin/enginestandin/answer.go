package enginestandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"almondbay.example/serving/engine/enginewire"
)

// answer writes the answer to one generation request.
type answer struct {
	server  *Server
	context echo.Context
	request generation
	prompt  string
	// length is the number of tokens of the whole answer.
	length int
	// offset is the number of tokens that are not sent again.
	offset int
	chat   bool
}

func (s *Server) newAnswer(c echo.Context, g generation) *answer {
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

// whole writes the answer as one JSON object.
func (a *answer) whole() error {
	config := a.server.member.config
	if !a.server.pause(a.context, config.FirstToken) {
		return nil
	}
	for range a.length {
		if !a.server.pause(a.context, config.TokenInterval) {
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

// stream writes the answer as server-sent events that end with the marker
// [DONE].
func (a *answer) stream() error {
	config := a.server.member.config
	response := a.context.Response()
	response.Header().Set("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	if !a.server.pause(a.context, config.FirstToken) {
		return nil
	}
	for i := a.offset; i < a.length; i++ {
		if i > a.offset && !a.server.pause(a.context, config.TokenInterval) {
			return nil
		}
		if config.BeforeToken != nil && config.BeforeToken(a.context.Request(), i) != nil {
			panic(http.ErrAbortHandler)
		}
		if err := a.event(i, a.completion(Token(a.prompt, a.request.Seed, i), nil)); err != nil {
			return err
		}
	}
	reason := "stop"
	if err := a.event(-1, a.completion("", &reason)); err != nil {
		return err
	}
	_, err := response.Write([]byte("data: [DONE]\n\n"))
	response.Flush()
	return err
}

// event writes one server-sent event. Its ID states the index of its token,
// unless that is negative: the event then has none.
func (a *answer) event(index int, body completion) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response := a.context.Response()
	place := fmt.Sprintf("id: %d+1\n", index)
	switch {
	case a.server.member.config.OmitEventIDs:
		place = ""
	case index < 0:
		place = fmt.Sprintf("id: %d+0\n", a.length)
	}
	if _, err := response.Write([]byte(place + "data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	response.Flush()
	return nil
}

// completion returns a chunk that carries text.
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
