package operator

import (
	"bytes"
	_ "embed"
	"html/template"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"age": formatAge,
}).Parse(pageText))

// page serves the status of the node as an HTML page.
func (a *API) page(c echo.Context) error {
	var body bytes.Buffer
	if err := pageTemplate.Execute(&body, a.config.Status()); err != nil {
		return err
	}
	c.Response().Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	return c.HTMLBlob(http.StatusOK, body.Bytes())
}

// formatAge returns how long before now a time was, or "never" for the zero time.
func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}
