package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"almondbay.example/serving/keys"
)

// Handler returns the API for the other nodes. It refuses a request without
// one of the peers' keys.
func (p *Peer) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST(PathExchange, p.serveExchange)
	e.GET(PathDocument+"/:revision", p.serveDocument)
	digests := make([]string, 0, len(p.config.Keys))
	for _, key := range p.config.Keys {
		digests = append(digests, key.Digest())
	}
	return keys.Require(digests, e)
}

func (p *Peer) serveExchange(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxMessageBytes))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	var m wireMessage
	if err := json.Unmarshal(body, &m); err != nil || m.Node == "" {
		return c.NoContent(http.StatusBadRequest)
	}
	if err := p.take(m); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, p.message(m.Node, m.Domain))
}

// serveDocument answers with the configuration in force if it has the revision
// asked for.
func (p *Peer) serveDocument(c echo.Context) error {
	revision, err := strconv.ParseUint(c.Param("revision"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	held, body := p.config.Configuration.Held()
	if held != revision {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, "application/json", body)
}
