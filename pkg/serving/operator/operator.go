// Package operator speaks to operators: it serves the admin API.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/serving/platform"
)

// Error is the class of all errors of this package.
var Error = errs.Class("operator")

const (
	// PathDocument is where a document is accepted.
	PathDocument = "/v1/document"
	// environmentPrefix starts the key of each environment's row.
	environmentPrefix = "environment/"
	// maxDocumentBytes bounds the size of a document.
	maxDocumentBytes = 4 << 20
)

// Config configures an API.
type Config struct {
	Environment string
	// KeyHashes are the hex SHA-256 digests of the operators' keys.
	KeyHashes []string
	Table     platform.Table
	Objects   platform.Objects
}

// API is the admin API.
type API struct {
	config Config
	echo   *echo.Echo
}

// New returns the admin API.
func New(c Config) *API {
	a := &API{config: c, echo: echo.New()}
	a.echo.HideBanner = true
	a.echo.Use(a.authenticate)
	a.echo.PUT(PathDocument, a.apply)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.echo.ServeHTTP(w, r)
}

func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		digest := []byte(hex.EncodeToString(sum[:]))
		found := 0
		for _, d := range a.config.KeyHashes {
			found |= subtle.ConstantTimeCompare(digest, []byte(d))
		}
		if found != 1 {
			return c.NoContent(http.StatusUnauthorized)
		}
		return next(c)
	}
}

// apply accepts a document as the next revision of the environment.
func (a *API) apply(c echo.Context) error {
	ctx := c.Request().Context()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxDocumentBytes))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	err = Accept(ctx, a.config, body)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return c.String(http.StatusConflict, err.Error())
	}
	var faults jsonc.Faults
	if errors.As(err, &faults) {
		return c.String(http.StatusUnprocessableEntity, err.Error())
	}
	if err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error())
	}
	return c.NoContent(http.StatusOK)
}

// Accept accepts a document as the next revision of an environment.
func Accept(ctx context.Context, c Config, body []byte) error {
	if _, faults := document.Parse("document", body); faults != nil {
		return faults
	}
	sum := sha256.Sum256(body)
	name := hex.EncodeToString(sum[:])
	if err := c.Objects.Put(ctx, name, body); err != nil {
		return Error.Wrap(err)
	}
	key := environmentPrefix + c.Environment
	row, err := c.Table.Read(ctx, key)
	if err != nil {
		return Error.Wrap(err)
	}
	value, err := json.Marshal(wireRevision{Revision: row.Version + 1, Document: name})
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(c.Table.Commit(ctx, platform.Transaction{
		Operation:  uuid.NewString(),
		Conditions: []platform.Condition{{Key: key, Version: row.Version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}))
}
