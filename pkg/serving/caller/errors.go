package caller

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

// Outcome tells a caller what became of its request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that the request certainly was not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeRan means that the request was run to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may have been run, in part or
	// whole.
	OutcomeUnknown Outcome = "unknown"
)

// UnavailableError reports that no replica group can take a request.
type UnavailableError struct {
	Model string
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no replica group of model %q is serving", e.Model)
}

// problem is an error that is told to a caller.
type problem struct {
	status  int
	code    string
	message string
	outcome Outcome
}

func (p *problem) Error() string {
	return p.message
}

func notRun(status int, code, message string) *problem {
	return &problem{status: status, code: code, message: message, outcome: OutcomeNotRun}
}

func unknown(message string) *problem {
	return &problem{
		status:  http.StatusBadGateway,
		code:    "brokenAnswer",
		message: message,
		outcome: OutcomeUnknown,
	}
}

// write sends a problem as the body of an answer.
func (p *problem) write(c echo.Context) error {
	return c.JSON(p.status, wireProblemOf(p))
}
