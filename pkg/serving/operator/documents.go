package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/event"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator/operatorwire"
)

// maxCommandBytes limits the body of a command other than a document.
const maxCommandBytes = 16 << 10

// RequestError reports a malformed request.
type RequestError struct {
	Reason string
}

func (e *RequestError) Error() string { return "operator: " + e.Reason }

// NoDocumentError reports an environment without a document.
type NoDocumentError struct {
	Environment string
}

func (e *NoDocumentError) Error() string {
	return fmt.Sprintf("operator: environment %q has no document", e.Environment)
}

func (a *API) document(c echo.Context) error {
	ctx := c.Request().Context()
	row, err := a.environmentRow(ctx, c.Param("environment"))
	if err != nil {
		return err
	}
	entry := row.Entry
	if text := c.QueryParam(operatorwire.QueryRevision); text != "" {
		wanted, err := parseNumber(operatorwire.QueryRevision, text)
		if err != nil {
			return err
		}
		found, ok := row.Find(wanted)
		if !ok {
			return &revision.UnknownRevisionError{Environment: row.Environment, Revision: wanted}
		}
		entry = found
	}
	body, err := a.config.Store.Document(ctx, entry.Hash)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, operatorwire.Document{Entry: operatorwire.FromEntry(entry), Body: body})
}

// environmentRow returns the row of an environment, or NoDocumentError when the
// environment has no document.
func (a *API) environmentRow(ctx context.Context, name string) (revision.Row, error) {
	row, err := a.config.Store.Read(ctx, name)
	if err != nil {
		return revision.Row{}, err
	}
	if row.Revision == 0 {
		return revision.Row{}, &NoDocumentError{Environment: name}
	}
	return row, nil
}

func (a *API) accept(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, jsonc.MaxBytes))
	if err != nil {
		return &RequestError{Reason: fmt.Sprintf("document cannot be read or exceeds %d bytes", jsonc.MaxBytes)}
	}
	parent, err := parseNumber(operatorwire.QueryParent, c.QueryParam(operatorwire.QueryParent))
	if err != nil {
		return err
	}
	operation, err := parseOperationID(c.QueryParam(operatorwire.QueryOperation))
	if err != nil {
		return err
	}
	author := keys.FromContext(c.Request().Context()).Name
	name := c.Param("environment")
	entry, err := a.config.Store.Accept(c.Request().Context(), name, environment.Proposal{
		Operation: operation, Parent: parent, Author: author, Body: body,
	})
	return a.finish(c, name, operation, entry, err)
}

func (a *API) promote(c echo.Context) error {
	var wire operatorwire.Promotion
	if err := decode(c, &wire); err != nil {
		return err
	}
	if err := validateName("source", wire.Source); err != nil {
		return err
	}
	operation, err := parseOperationID(wire.Operation)
	if err != nil {
		return err
	}
	target := c.Param("environment")
	entry, err := a.config.Store.Promote(c.Request().Context(), wire.Source, target, revision.Promotion{
		Operation:      operation,
		SourceRevision: wire.SourceRevision,
		Parent:         wire.Parent,
		Author:         keys.FromContext(c.Request().Context()).Name,
	})
	return a.finish(c, target, operation, entry, err)
}

func (a *API) undo(c echo.Context) error {
	var wire operatorwire.UndoRequest
	if err := decode(c, &wire); err != nil {
		return err
	}
	operation, err := parseOperationID(wire.Operation)
	if err != nil {
		return err
	}
	name := c.Param("environment")
	entry, err := a.config.Store.Undo(c.Request().Context(), name, revision.UndoRequest{
		Operation: operation,
		Parent:    wire.Parent,
		To:        wire.To,
		Author:    keys.FromContext(c.Request().Context()).Name,
	})
	return a.finish(c, name, operation, entry, err)
}

// finish logs the outcome of a command. It responds with the new revision, or
// returns the error of the command.
func (a *API) finish(c echo.Context, name, operation string, entry revision.Entry, err error) error {
	author := zap.String("author", keys.FromContext(c.Request().Context()).Name)
	environmentField, operationField := zap.String("environment", name), zap.String("operation", operation)
	var unknown *environment.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		event.DocumentOutcomeUnknown.Log(a.config.Logger, environmentField, operationField, author, zap.Error(err))
		return err
	case err != nil:
		event.DocumentRefused.Log(a.config.Logger, environmentField, operationField, author, zap.Error(err))
		return err
	}
	event.DocumentAccepted.Log(a.config.Logger, environmentField, operationField, author,
		zap.Uint64("revision", entry.Revision), zap.String("kind", string(entry.Kind)))
	a.config.OnAccepted(c.Request().Context(), name)
	return c.JSON(http.StatusOK, operatorwire.FromEntry(entry))
}

func (a *API) history(c echo.Context) error {
	row, err := a.environmentRow(c.Request().Context(), c.Param("environment"))
	if err != nil {
		return err
	}
	response := operatorwire.History{
		Environment: row.Environment,
		Entries:     []operatorwire.Entry{operatorwire.FromEntry(row.Entry)},
	}
	for _, e := range row.History {
		response.Entries = append(response.Entries, operatorwire.FromEntry(e))
	}
	return c.JSON(http.StatusOK, response)
}

// decode parses the JSON body of a command into target. Unknown fields are an
// error.
func decode(c echo.Context, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &RequestError{Reason: "malformed body: " + err.Error()}
	}
	return nil
}

func parseNumber(name, text string) (uint64, error) {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &RequestError{Reason: fmt.Sprintf("%s must be a whole number, got %q", name, text)}
	}
	return value, nil
}

// namePattern matches valid names of environments and VMs. Names become parts of
// row keys; without slashes they cannot address rows of other kinds.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,62}$`)

func validateName(what, name string) error {
	if !namePattern.MatchString(name) {
		return &RequestError{Reason: fmt.Sprintf("invalid %s name %q", what, name)}
	}
	return nil
}

// validateParams rejects requests whose path has an invalid environment or VM
// name.
func validateParams(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		for i, name := range c.ParamNames() {
			if err := validateName(name, c.ParamValues()[i]); err != nil {
				return err
			}
		}
		return next(c)
	}
}

// maxOperationLength limits the operation ID of a command, in bytes, since the
// ID is stored in the row.
const maxOperationLength = 64

func parseOperationID(text string) (string, error) {
	if text == "" || len(text) > maxOperationLength {
		return "", &RequestError{Reason: fmt.Sprintf("operation ID must have 1 to %d bytes", maxOperationLength)}
	}
	return text, nil
}
