package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"almondbay.example/core/attempt"
	"almondbay.example/serving/engine"
)

// bytesPerToken is the typical length of a token, for estimates.
const bytesPerToken = 4

var errOtherAnswer = Error.New("answer names another attempt or replica group")

// generate handles a generation request.
func (g *Gateway) generate(c echo.Context) error {
	call, refusal := g.readCall(c)
	if refusal != nil {
		return refusal.write(c)
	}
	defer call.release()

	request, err := parseGeneration(call.body)
	if err != nil {
		return notRunProblem(http.StatusBadRequest, CodeMalformedBody, "the request body is not a valid generation request").write(c)
	}
	d, _ := g.view.Document()
	model, known := modelOf(d, request.model)
	if !known || !allowed(call.workspace, request.model) {
		return notRunProblem(http.StatusNotFound, CodeUnknownModel, "the model does not exist or the workspace may not use it").write(c)
	}
	call.model = request.model
	call.idempotent = call.options.idempotence != idempotenceNo
	call.fingerprint = attempt.NewFingerprint([]byte(call.workspace.Name), []byte(request.model), call.body)
	b := &engineBackend{gateway: g, call: call, generation: request, model: model, path: c.Path()}
	return g.serve(c, call, b)
}

// serve runs a call and writes the answer to its caller.
func (g *Gateway) serve(c echo.Context, call *call, b backend) error {
	ctx, cancel := call.context(c.Request(), g.clock.Now())
	defer cancel()

	if call.booked() {
		return g.runBooked(ctx, c, call, b)
	}
	s := g.newCallerSink(c)
	timed := &timedSink{sink: s, clock: g.clock}
	x := g.newExchange(b, call, timed, true)
	p := x.run(ctx)
	g.observe(call, timed, x.request.Forwarded(), p)
	return s.close(c, p)
}

// engineBackend sends a generation request to replica groups.
type engineBackend struct {
	gateway    *Gateway
	call       *call
	generation generation
	// model is the base model; generation may name one of its adapters.
	model string
	path  string
}

var _ backend = (*engineBackend)(nil)

func (b *engineBackend) pick(ctx context.Context, c constraints) (destination, error) {
	choice, err := b.gateway.picker.Pick(ctx, Query{
		Workspace:    b.call.workspace.Name,
		Model:        b.model,
		Kind:         b.path,
		PromptTokens: b.generation.promptBytes / bytesPerToken,
		MaxTokens:    b.generation.maxTokens,
		Prefix:       b.generation.prefix,
		Priority:     b.call.options.priority,
		Deadline:     b.call.deadline,
		Avoid:        c.avoid,
		AvoidSites:   c.sites,
		Version:      c.version,
	})
	if err != nil {
		return destination{}, err
	}
	e := choice.Expected
	return destination{
		target:   attempt.Target{Group: choice.Group, Epoch: e.Epoch, Version: e.Version},
		crash:    attempt.Crash{Group: choice.Group, Epoch: e.Epoch, Site: choice.Site},
		address:  choice.Address,
		expected: choice,
		slot:     choice.Slot,
	}, nil
}

// send starts an attempt. It rejects an answer whose headers name another
// attempt, group, epoch, version or boot.
func (b *engineBackend) send(ctx context.Context, dest destination, s attemptParams) (answer, *failureError) {
	id := fmt.Sprintf("%s-%d", b.call.id, s.id)
	a, err := b.gateway.engine.Generate(ctx, dest.address, engine.Request{
		ID:       b.call.id,
		Attempt:  id,
		Path:     b.path,
		Body:     b.call.body,
		Expected: dest.expected.Expected,
		Offset:   s.offset,
		Priority: string(b.priority(dest)),
		Timeout:  s.timeout,
		NoRetry:  !b.call.idempotent,
		OnWrite:  s.written,
	})
	if err != nil {
		return answer{}, engineFailure(err)
	}
	if a.Identity != dest.expected.Expected || a.Attempt != id {
		_ = a.Body.Close()
		return answer{}, newFailure(attempt.FailureIdentity, errOtherAnswer)
	}
	head := answer{
		status: a.Status,
		header: http.Header{echo.HeaderContentType: {a.ContentType}},
		stream: strings.HasPrefix(a.ContentType, "text/event-stream"),
		body:   a.Body,
	}
	if a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError {
		_ = a.Body.Close()
		return answer{}, &failureError{kind: attempt.FailureRejected, rejection: &head}
	}
	return head, nil
}

// priority returns the priority passed to the engine. It lowers the priority of
// long requests, unless the caller set one other than normal.
func (b *engineBackend) priority(dest destination) Priority {
	if dest.expected.Long && b.call.options.priority == PriorityNormal {
		return PriorityLow
	}
	return b.call.options.priority
}

// engineFailure converts an error of the engine client to the failure of an
// attempt.
func engineFailure(err error) *failureError {
	var refused *engine.NotStartedError
	var unreachable *engine.UnreachableError
	var foreign *engine.ForeignResponseError
	switch {
	case errors.As(err, &refused) && refused.Invalid():
		f := newFailure(attempt.FailureInvalid, err)
		f.rejection = &answer{status: refused.Status}
		return f
	case errors.As(err, &refused):
		return newFailure(attempt.FailureNotStarted, err)
	case errors.As(err, &unreachable):
		return newFailure(attempt.FailureUnreachable, err)
	case errors.As(err, &foreign):
		return newFailure(attempt.FailureIdentity, err)
	default:
		return newFailure(attempt.FailureBroken, err)
	}
}

func (b *engineBackend) final(answer) bool {
	return false
}

func (b *engineBackend) crashed(ctx context.Context, dest destination) bool {
	return memberCrashed(ctx, b.gateway.engine, dest.expected)
}
