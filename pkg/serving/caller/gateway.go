// Package caller speaks to callers: it takes requests in OpenAI form and for
// plain services, and relays whole answers from backend servers.
package caller

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/core/document"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/service"
	"almondbay.example/serving/view"
)

const (
	// PathReady answers 200 while the node takes requests.
	PathReady = "/readyz"
	// PathHealth answers 200 as long as the process serves at all.
	PathHealth = "/healthz"
)

// Config configures a Gateway.
type Config struct {
	View *view.View
	// Clock is a real clock where connections are served, as it sets their
	// deadlines.
	Clock   clockwork.Clock
	Picker  Picker
	Engine  engine.Engine
	Service service.Service
	// Table keeps bookings and quarantined requests.
	Table  platform.Table
	Limits Limits
	// FailureDomain is that of the node; plain services in it come first.
	FailureDomain string
	// Observer is told of generation requests that have ended; nil for none.
	Observer Observer
	// Peers is the other nodes; nil when there are none.
	Peers Peers
	// NoQuarantine lets requests that crash backend servers run, for
	// comparison.
	NoQuarantine bool
}

// Gateway serves callers.
type Gateway struct {
	view     *view.View
	clock    clockwork.Clock
	picker   Picker
	engine   engine.Engine
	service  service.Service
	bookings *bookkeeper
	limits   *limits
	budgets  *attempt.Budgets
	suspects *suspects
	inFlight *inFlight
	domain   string
	observer Observer
	// calls counts the calls in flight on each VM of a plain service.
	calls *counts
	echo  *echo.Echo
	// reviewedAt is when CheckGroups last ran; reviewFrom is when its view of the
	// fleet can be relied on. Only CheckGroups uses them.
	reviewedAt time.Time
	reviewFrom time.Time
	stopping   atomic.Bool
	connected  atomic.Int64
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{
		view:     c.View,
		clock:    c.Clock,
		picker:   c.Picker,
		engine:   c.Engine,
		service:  c.Service,
		bookings: newBookkeeper(c.Table),
		limits:   newLimits(c.Limits),
		budgets:  attempt.NewBudgets(attempt.DefaultBudgetConfig()),
		suspects: newSuspects(c),
		inFlight: newInFlight(),
		domain:   c.FailureDomain,
		observer: c.Observer,
		calls:    newCounts(),
		echo:     echo.New(),
	}
	g.echo.HideBanner = true
	g.echo.HTTPErrorHandler = handleError
	g.echo.Use(g.guard)
	g.echo.GET(PathReady, g.ready)
	g.echo.GET(PathHealth, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	g.echo.GET("/v1/models", g.models)
	g.echo.POST(enginewire.PathChatCompletions, g.generate)
	g.echo.POST(enginewire.PathCompletions, g.generate)
	g.echo.Any("/services/:service", g.callService)
	g.echo.Any("/services/:service/*", g.callService)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.echo.ServeHTTP(w, r)
}

// guard refuses requests over the limits and closes connections while the node
// stops.
func (g *Gateway) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if g.stopping.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		if overLimit(c.Request().Context()) {
			c.Response().Header().Set(echo.HeaderConnection, "close")
			return overloaded("too many connections are open").write(c)
		}
		if countHeaders(c.Request().Header) > maxHeaders {
			return notRun(http.StatusRequestHeaderFieldsTooLarge, CodeHeadersTooLarge, "too many headers").write(c)
		}
		return next(c)
	}
}

func (g *Gateway) ready(c echo.Context) error {
	if _, revision := g.view.Document(); revision == 0 || g.stopping.Load() {
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
	add := func(name string) {
		if allowed(workspace, name) {
			answer.Data = append(answer.Data, wireModel{ID: name, Object: "model", OwnedBy: "almondbay"})
		}
	}
	for _, m := range d.Models {
		add(m.Name)
		for _, a := range m.Adapters {
			add(a.Name)
		}
	}
	return c.JSON(http.StatusOK, answer)
}

// modelOf returns the model that serves a name, which is that of a model or of
// one of its adapters.
func modelOf(d document.Document, name string) (string, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m.Name, true
		}
		for _, a := range m.Adapters {
			if a.Name == name {
				return m.Name, true
			}
		}
	}
	return "", false
}

func allowed(w document.Workspace, model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

// authenticate finds the workspace whose key the request carries.
func (g *Gateway) authenticate(c echo.Context) (document.Workspace, *problem) {
	key := keys.FromHeader(c.Request().Header)
	if key == "" {
		return document.Workspace{}, notRun(http.StatusUnauthorized, CodeNoKey, "a bearer key is needed")
	}
	digest := keys.Digest(key)
	d, _ := g.view.Document()
	for _, w := range d.Workspaces {
		if keys.Contains(w.KeyHashes, digest) {
			return w, nil
		}
	}
	return document.Workspace{}, notRun(http.StatusUnauthorized, CodeUnknownKey, "the key is not known")
}
