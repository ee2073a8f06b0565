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

// refuse turns the error of a handler into an answer.
func (a *API) refuse(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, problem := a.problem(c.Request().Context(), err)
	// The operator has left when this fails.
	_ = c.JSON(code, problem)
}

func (a *API) problem(ctx context.Context, err error) (int, operatorwire.Problem) {
	problem := operatorwire.Problem{Message: err.Error(), Outcome: operatorwire.OutcomeNotRun}
	var (
		faults      jsonc.Faults
		conflict    *revision.ConflictError
		reused      *revision.ReusedOperationError
		noRevision  *revision.UnknownRevisionError
		noDocument  *NoDocumentError
		unknown     *environment.UnknownOutcomeError
		drainLost   *drain.UnknownOutcomeError
		request     *RequestError
		unavailable *environment.UnavailableError
		routing     *echo.HTTPError
	)
	// An unknown outcome comes first: it may wrap the conflict of its last try.
	switch {
	case errors.As(err, &unknown), errors.As(err, &drainLost):
		problem.Code, problem.Outcome = "outcomeUnknown", operatorwire.OutcomeUnknown
		return http.StatusGatewayTimeout, problem
	case errors.As(err, &faults):
		problem.Code, problem.Faults = "unsoundDocument", operatorwire.FromFaults(faults)
		return http.StatusUnprocessableEntity, problem
	case errors.As(err, &conflict):
		problem.Code, problem.Changes = "conflict", a.changes(ctx, conflict)
		current := operatorwire.FromEntry(conflict.Current)
		problem.Current = &current
		return http.StatusConflict, problem
	case errors.As(err, &reused):
		problem.Code = "operationReused"
		return http.StatusConflict, problem
	case errors.As(err, &noRevision), errors.As(err, &noDocument):
		problem.Code = "notFound"
		return http.StatusNotFound, problem
	case errors.As(err, &request):
		problem.Code = "malformedRequest"
		return http.StatusBadRequest, problem
	case errors.As(err, &routing):
		problem.Code = "malformedRequest"
		return routing.Code, problem
	case errors.As(err, &unavailable):
		problem.Code = "platformUnavailable"
		return http.StatusServiceUnavailable, problem
	}
	problem.Code = "platformUnavailable"
	return http.StatusServiceUnavailable, problem
}

// changes returns what others changed since the author looked. It is empty
// when either document is gone; the refusal stands without it.
func (a *API) changes(ctx context.Context, conflict *revision.ConflictError) []operatorwire.Change {
	var seen document.Document
	if conflict.Seen > 0 {
		var ok bool
		if seen, ok = a.parsed(ctx, conflict.SeenHash); !ok {
			return nil
		}
	}
	current, ok := a.parsed(ctx, conflict.Current.Hash)
	if !ok {
		return nil
	}
	return operatorwire.FromChanges(document.Difference(seen, current))
}

func (a *API) parsed(ctx context.Context, hash string) (document.Document, bool) {
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
