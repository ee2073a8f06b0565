// Package operator speaks to operators: it serves the admin API, in HTTP with
// JSON, on its own address and with its own keys.
package operator

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"almondbay.example/core/burn"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/event"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorwire"
	"almondbay.example/serving/status"
)

// Config configures an API.
type Config struct {
	// Operators may use the API; without any it refuses all requests.
	Operators []keys.Holder
	Store     *environment.Store
	Drains    *drain.Store
	Clock     clockwork.Clock
	Logger    *zap.Logger
	// Status returns the state of the node.
	Status func() status.Status
	// OnAccepted is called when a command was accepted for an environment.
	OnAccepted func(ctx context.Context, environment string)
	// Burn reports on service-level burn, and names the nodes whose counts are
	// missing in the report.
	Burn func(ctx context.Context) (report burn.Report, missing []string, err error)
	// Metrics serves the node's metrics.
	Metrics http.Handler
}

// API is the admin API.
type API struct {
	config  Config
	handler http.Handler
}

// New returns the admin API.
func New(c Config) *API {
	a := &API{config: c}
	e := echo.New()
	e.HTTPErrorHandler = a.refuse
	e.Use(checkNames)
	e.GET(operatorwire.PathPage, a.page)
	e.GET(operatorwire.PathStatus, a.status)
	e.GET(operatorwire.PathBurn, a.burn)
	e.GET(operatorwire.PathMetrics, echo.WrapHandler(c.Metrics))
	e.GET(operatorwire.PathDocument, a.document)
	e.PUT(operatorwire.PathDocument, a.accept)
	e.POST(operatorwire.PathPromotion, a.promote)
	e.POST(operatorwire.PathUndo, a.undo)
	e.GET(operatorwire.PathHistory, a.history)
	e.GET(operatorwire.PathDrains, a.drains)
	e.PUT(operatorwire.PathDrain, a.drain)
	e.DELETE(operatorwire.PathDrain, a.clearDrain)
	a.handler = acceptPassword(keys.Require(c.Operators, a.keyRefused, e))
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.handler.ServeHTTP(w, r)
}

func (a *API) keyRefused(r *http.Request) {
	event.KeyRefused.Log(a.config.Logger,
		zap.String("listener", "operator"), zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
}

// acceptPassword lets a browser read pages with the key as the password of
// basic authentication. It holds for reading alone, since a browser adds the
// password to requests that another site's page makes.
func acceptPassword(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		if _, password, ok := r.BasicAuth(); ok {
			keys.NewSecret(password).Authorize(r.Header)
		}
		next.ServeHTTP(&challenger{ResponseWriter: w}, r)
	})
}

// challenger asks a browser for a password when a page is refused.
type challenger struct {
	http.ResponseWriter
}

func (c *challenger) WriteHeader(code int) {
	if code == http.StatusUnauthorized {
		c.Header().Add("WWW-Authenticate", `Basic realm="almondbay", charset="UTF-8"`)
	}
	c.ResponseWriter.WriteHeader(code)
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, operatorwire.FromStatus(a.config.Status()))
}

func (a *API) burn(c echo.Context) error {
	report, missing, err := a.config.Burn(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, operatorwire.FromBurn(report, missing))
}

func (a *API) drains(c echo.Context) error {
	drains, err := a.config.Drains.List(c.Request().Context())
	if err != nil {
		return err
	}
	answer := operatorwire.Drains{Drains: []operatorwire.Drain{}}
	for _, d := range drains {
		answer.Drains = append(answer.Drains, operatorwire.Drain(d))
	}
	return c.JSON(http.StatusOK, answer)
}

func (a *API) drain(c echo.Context) error {
	author := keys.FromContext(c.Request().Context()).Name
	vm := c.Param("vm")
	if err := a.config.Drains.Set(c.Request().Context(), vm, author); err != nil {
		return err
	}
	event.DrainRequested.Log(a.config.Logger, zap.String("vm", vm), zap.String("author", author))
	return c.NoContent(http.StatusNoContent)
}

func (a *API) clearDrain(c echo.Context) error {
	if err := a.config.Drains.Clear(c.Request().Context(), c.Param("vm")); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
