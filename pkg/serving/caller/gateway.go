// Package caller serves the callers' API: it accepts generation requests in
// OpenAI format and calls to plain services, forwards them to backend servers
// with retries, and relays the answers.
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
	// PathReady responds with 200 while the node accepts requests.
	PathReady = "/readyz"
	// PathHealth responds with 200 as long as the process is running.
	PathHealth = "/healthz"
)

// Config configures a Gateway.
type Config struct {
	View *view.View
	// Clock must be a real clock when connections are served, because it is
	// used to compute their deadlines.
	Clock   clockwork.Clock
	Picker  Picker
	Engine  engine.Engine
	Service service.Service
	// Table stores bookings and quarantined requests.
	Table  platform.Table
	Limits Limits
	// FailureDomain is the failure domain of the node; VMs of plain services in
	// it are preferred.
	FailureDomain string
	// Observer receives the result of each generation request; nil for none.
	Observer Observer
	// Peers sends to the other nodes; nil when there are none.
	Peers Peers
	// NoQuarantine disables the quarantine of requests that crash backend
	// servers, to measure its effect.
	NoQuarantine bool
}

// Gateway is the HTTP handler of the callers' API.
type Gateway struct {
	view     *view.View
	clock    clockwork.Clock
	picker   Picker
	engine   engine.Engine
	service  service.Service
	bookings *bookingStore
	limits   *limits
	budgets  *attempt.Budgets
	suspects *suspects
	inFlight *inFlight
	domain   string
	observer Observer
	// serviceCalls counts the calls in flight to each VM of a plain service.
	serviceCalls *inFlightCounts
	echo         *echo.Echo
	// checkedAt is when CheckGroups last ran. CheckGroups cancels no attempts
	// before checkFrom. Both are used by CheckGroups only.
	checkedAt time.Time
	checkFrom time.Time
	stopping  atomic.Bool
	connected atomic.Int64
}

// New returns a gateway.
func New(c Config) *Gateway {
	g := &Gateway{
		view:         c.View,
		clock:        c.Clock,
		picker:       c.Picker,
		engine:       c.Engine,
		service:      c.Service,
		bookings:     newBookingStore(c.Table),
		limits:       newLimits(c.Limits),
		budgets:      attempt.NewBudgets(attempt.DefaultBudgetConfig()),
		suspects:     newSuspects(c),
		inFlight:     newInFlight(),
		domain:       c.FailureDomain,
		observer:     c.Observer,
		serviceCalls: newInFlightCounts(),
		echo:         echo.New(),
	}
	g.echo.HideBanner = true
	g.echo.HTTPErrorHandler = handleError
	g.echo.Use(g.enforceLimits)
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

// enforceLimits is middleware that rejects requests over the limits and closes
// connections while the node is stopping.
func (g *Gateway) enforceLimits(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if g.stopping.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		if overLimit(c.Request().Context()) {
			c.Response().Header().Set(echo.HeaderConnection, "close")
			return overloadedProblem("too many connections are open").write(c)
		}
		if countHeaders(c.Request().Header) > maxHeaders {
			return notRunProblem(http.StatusRequestHeaderFieldsTooLarge, CodeHeadersTooLarge, "the request has too many header lines").write(c)
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

// modelOf returns the model with the given name or with an adapter of that
// name.
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

// authenticate returns the workspace of the API key in the request.
func (g *Gateway) authenticate(c echo.Context) (document.Workspace, *problem) {
	key := keys.FromHeader(c.Request().Header)
	if key == "" {
		return document.Workspace{}, notRunProblem(http.StatusUnauthorized, CodeNoKey, "the Authorization header carries no bearer key")
	}
	digest := keys.Digest(key)
	d, _ := g.view.Document()
	for _, w := range d.Workspaces {
		if keys.Contains(w.KeyHashes, digest) {
			return w, nil
		}
	}
	return document.Workspace{}, notRunProblem(http.StatusUnauthorized, CodeUnknownKey, "the API key is unknown")
}
