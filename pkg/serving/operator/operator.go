// Package operator serves the admin API for operators: HTTP with JSON bodies, on
// an address and with keys separate from those of callers.
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
	// Operators lists who may use the API; when it is empty, all requests are
	// rejected.
	Operators []keys.Holder
	Store     *environment.Store
	Drains    *drain.Store
	Clock     clockwork.Clock
	Logger    *zap.Logger
	// Status returns the current state of the node.
	Status func() status.Status
	// OnAccepted is called after a command has created a revision of an
	// environment.
	OnAccepted func(ctx context.Context, environment string)
	// Burn returns the report on service-level burn, and the nodes whose counts
	// are missing from it.
	Burn func(ctx context.Context) (report burn.Report, missing []string, err error)
	// Metrics serves the node's metrics.
	Metrics http.Handler
}

// API is the HTTP handler of the admin API.
type API struct {
	config  Config
	handler http.Handler
}

// New returns an API with the routes of package operatorwire.
func New(c Config) *API {
	a := &API{config: c}
	e := echo.New()
	e.HTTPErrorHandler = a.writeError
	e.Use(validateParams)
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
	a.handler = acceptPassword(keys.Require(c.Operators, a.logKeyRefused, e))
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.handler.ServeHTTP(w, r)
}

func (a *API) logKeyRefused(r *http.Request) {
	event.KeyRefused.Log(a.config.Logger,
		zap.String("listener", "operator"), zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
}

// acceptPassword accepts the operator's key as the password of HTTP basic
// authentication, so that a browser can show pages. It does so for GET requests
// only: a browser also sends stored credentials with requests made by pages of
// other sites, so accepting them for commands would allow cross-site request
// forgery.
func acceptPassword(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		if _, password, ok := r.BasicAuth(); ok {
			keys.NewSecret(password).Authorize(r.Header)
		}
		next.ServeHTTP(&basicAuthChallenger{ResponseWriter: w}, r)
	})
}

// basicAuthChallenger adds a basic authentication challenge to responses with
// status 401, so that a browser asks for the password.
type basicAuthChallenger struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (c *basicAuthChallenger) WriteHeader(code int) {
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
	response := operatorwire.Drains{Drains: []operatorwire.Drain{}}
	for _, d := range drains {
		response.Drains = append(response.Drains, operatorwire.Drain(d))
	}
	return c.JSON(http.StatusOK, response)
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
