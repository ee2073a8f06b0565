package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/document"
	"almondbay.example/core/jsonc"
	"almondbay.example/core/revision"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/operator/operatorwire"
)

// writeError responds with the status and problem body of a handler error. It
// implements echo.HTTPErrorHandler.
func (a *API) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, problem := a.problemOf(c.Request().Context(), err)
	// Writing fails only when the client has closed the connection.
	_ = c.JSON(code, problem)
}

// problemOf maps an error to an HTTP status and a problem body.
func (a *API) problemOf(ctx context.Context, err error) (int, operatorwire.Problem) {
	problem := operatorwire.Problem{Message: err.Error(), Outcome: operatorwire.OutcomeNotRun}
	var (
		faults          jsonc.Faults
		conflict        *revision.ConflictError
		reused          *revision.ReusedOperationError
		unknownRevision *revision.UnknownRevisionError
		noDocument      *NoDocumentError
		unknown         *environment.UnknownOutcomeError
		drainUnknown    *drain.UnknownOutcomeError
		request         *RequestError
		unavailable     *environment.UnavailableError
		httpError       *echo.HTTPError
	)
	// An unknown outcome is matched first, since it may wrap the conflict error
	// of its last attempt.
	switch {
	case errors.As(err, &unknown), errors.As(err, &drainUnknown):
		problem.Code, problem.Outcome = "outcomeUnknown", operatorwire.OutcomeUnknown
		return http.StatusGatewayTimeout, problem
	case errors.As(err, &faults):
		problem.Code, problem.Faults = "unsoundDocument", operatorwire.FromFaults(faults)
		return http.StatusUnprocessableEntity, problem
	case errors.As(err, &conflict):
		problem.Code, problem.Changes = "conflict", a.changesSince(ctx, conflict)
		current := operatorwire.FromEntry(conflict.Current)
		problem.Current = &current
		return http.StatusConflict, problem
	case errors.As(err, &reused):
		problem.Code = "operationReused"
		return http.StatusConflict, problem
	case errors.As(err, &unknownRevision), errors.As(err, &noDocument):
		problem.Code = "notFound"
		return http.StatusNotFound, problem
	case errors.As(err, &request):
		problem.Code = "malformedRequest"
		return http.StatusBadRequest, problem
	case errors.As(err, &httpError):
		problem.Code = "malformedRequest"
		return httpError.Code, problem
	case errors.As(err, &unavailable):
		problem.Code = "platformUnavailable"
		return http.StatusServiceUnavailable, problem
	}
	problem.Code = "platformUnavailable"
	return http.StatusServiceUnavailable, problem
}

// changesSince returns the changes between the document that the author saw and
// the one in force. It is nil when either document cannot be read or parsed; the
// conflict is reported without changes then.
func (a *API) changesSince(ctx context.Context, conflict *revision.ConflictError) []operatorwire.Change {
	var seen document.Document
	if conflict.Seen > 0 {
		var ok bool
		if seen, ok = a.parsedDocument(ctx, conflict.SeenHash); !ok {
			return nil
		}
	}
	current, ok := a.parsedDocument(ctx, conflict.Current.Hash)
	if !ok {
		return nil
	}
	return operatorwire.FromChanges(document.Difference(seen, current))
}

// parsedDocument reads and parses the document with a hash, and returns false
// when it cannot.
func (a *API) parsedDocument(ctx context.Context, hash string) (document.Document, bool) {
	if hash == "" {
		return document.Document{}, false
	}
	body, err := a.config.Store.Document(ctx, hash)
	if err != nil {
		return document.Document{}, false
	}
	d, faults := document.Parse(hash, body)
	return d, len(faults) == 0
}
