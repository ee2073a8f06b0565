// Package caller speaks to callers: it takes requests in OpenAI form and
// relays whole answers from replica groups.
package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"almondbay.example/core/document"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/serving/view"
)

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 8 << 20
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 3
)

// Config configures a Gateway.
type Config struct {
	View   *view.View
	Picker Picker
	Engine engine.Engine
}

// Gateway serves callers.
type Gateway struct {
	view   *view.View
	picker Picker
	engine engine.Engine
	echo   *echo.Echo
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{
		view:   c.View,
		picker: c.Picker,
		engine: c.Engine,
		echo:   echo.New(),
	}
	g.echo.HideBanner = true
	g.echo.GET("/readyz", g.ready)
	g.echo.GET("/v1/models", g.models)
	g.echo.POST(enginewire.PathChatCompletions, g.generate)
	g.echo.POST(enginewire.PathCompletions, g.generate)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.echo.ServeHTTP(w, r)
}

func (g *Gateway) ready(c echo.Context) error {
	if _, revision := g.view.Document(); revision == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (g *Gateway) models(c echo.Context) error {
	workspace, refusal := g.authenticate(c)
	if refusal != nil {
		return refusal.write(c)
	}
	d, _ := g.view.Document()
	answer := wireModels{Object: "list", Data: []wireModel{}}
	for _, m := range d.Models {
		if allowed(workspace, m.Name) {
			answer.Data = append(answer.Data, wireModel{ID: m.Name, Object: "model", OwnedBy: "almondbay"})
		}
	}
	return c.JSON(http.StatusOK, answer)
}

// generate runs one generation request over as many attempts as it needs.
func (g *Gateway) generate(c echo.Context) error {
	workspace, refusal := g.authenticate(c)
	if refusal != nil {
		return refusal.write(c)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return notRun(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body can't be read whole").write(c)
	}
	var request wireRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return notRun(http.StatusBadRequest, "malformedBody", "the body is not JSON").write(c)
	}
	if !g.known(request.Model) || !allowed(workspace, request.Model) {
		return notRun(http.StatusNotFound, "unknownModel", "the model is not served").write(c)
	}
	return g.attempts(c, Query{Workspace: workspace.Name, Model: request.Model}, body)
}

// attempts tries replica groups in turn until one has answered.
func (g *Gateway) attempts(c echo.Context, q Query, body []byte) error {
	mayHaveRun := false
	for range maxAttempts {
		choice, err := g.picker.Pick(c.Request().Context(), q)
		if err != nil {
			break
		}
		q.Avoid = append(q.Avoid, choice.Group)
		answer, err := g.attempt(c, choice, body)
		if err == nil {
			return g.relay(c, choice, answer)
		}
		choice.Release()
		var notStarted *engine.NotStartedError
		if !errors.As(err, &notStarted) {
			mayHaveRun = true
		}
	}
	if mayHaveRun {
		return unknown("no replica group gave a whole answer").write(c)
	}
	return notRun(http.StatusServiceUnavailable, "unavailable", "no replica group can take the request").write(c)
}

// attempt starts one attempt and checks the identity in the answer's head.
func (g *Gateway) attempt(c echo.Context, choice Choice, body []byte) (engine.Answer, error) {
	id := uuid.NewString()
	answer, err := g.engine.Generate(c.Request().Context(), choice.Address, engine.Request{
		Attempt:  id,
		Path:     c.Path(),
		Body:     body,
		Expected: choice.Expected,
	})
	if err != nil {
		return engine.Answer{}, err
	}
	if answer.Identity != choice.Expected || answer.Attempt != id {
		_ = answer.Body.Close()
		return engine.Answer{}, Error.New("answer of another attempt or group")
	}
	return answer, nil
}

// relay copies an answer to the caller as it arrives.
func (g *Gateway) relay(c echo.Context, choice Choice, answer engine.Answer) error {
	defer choice.Release()
	defer func() { _ = answer.Body.Close() }()

	response := c.Response()
	response.Header().Set("Content-Type", answer.ContentType)
	response.WriteHeader(answer.Status)
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, err := response.Write(buffer[:n]); err != nil {
				return Error.Wrap(err)
			}
			response.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (g *Gateway) known(model string) bool {
	d, _ := g.view.Document()
	for _, m := range d.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

func allowed(w document.Workspace, model string) bool {
	if len(w.Models) == 0 {
		return true
	}
	for _, m := range w.Models {
		if m == model {
			return true
		}
	}
	return false
}

// authenticate finds the workspace whose key the request carries.
func (g *Gateway) authenticate(c echo.Context) (document.Workspace, *problem) {
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if !ok {
		return document.Workspace{}, notRun(http.StatusUnauthorized, "noKey", "a bearer key is needed")
	}
	d, _ := g.view.Document()
	for _, w := range d.Workspaces {
		if matchesAny(key, w.KeyHashes) {
			return w, nil
		}
	}
	return document.Workspace{}, notRun(http.StatusUnauthorized, "unknownKey", "the key is not known")
}
