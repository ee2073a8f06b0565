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

// bytesPerToken is the usual length of a token in a prompt.
const bytesPerToken = 4

var errOtherAnswer = Error.New("answer of another attempt or group")

// generate runs one generation request.
func (g *Gateway) generate(c echo.Context) error {
	call, refusal := g.read(c)
	if refusal != nil {
		return refusal.write(c)
	}
	defer call.release()

	request, err := parseGeneration(call.body)
	if err != nil {
		return notRun(http.StatusBadRequest, CodeMalformedBody, "the body is not a generation request").write(c)
	}
	d, _ := g.view.Document()
	model, known := modelOf(d, request.model)
	if !known || !allowed(call.workspace, request.model) {
		return notRun(http.StatusNotFound, CodeUnknownModel, "the model is not served").write(c)
	}
	call.model = request.model
	call.idempotent = call.options.idempotence != idempotenceNo
	call.print = attempt.NewFingerprint([]byte(call.workspace.Name), []byte(request.model), call.body)
	b := &engineBackend{gateway: g, call: call, generation: request, model: model, path: c.Path()}
	return g.serve(c, call, b)
}

// serve runs a call and answers its caller.
func (g *Gateway) serve(c echo.Context, call *call, b backend) error {
	ctx, cancel := call.context(c.Request(), g.clock.Now())
	defer cancel()

	if call.booked() {
		return g.book(ctx, c, call, b)
	}
	s := g.callerSink(c)
	timed := &timedSink{sink: s, clock: g.clock}
	x := g.exchange(b, call, timed, true)
	p := x.run(ctx)
	g.observe(call, timed, x.request.Forwarded(), p)
	return s.close(c, p)
}

// engineBackend sends a generation request to replica groups.
type engineBackend struct {
	gateway    *Gateway
	call       *call
	generation generation
	// model serves the request; generation may name an adapter of it.
	model string
	path  string
}

var _ backend = (*engineBackend)(nil)

func (b *engineBackend) pick(ctx context.Context, w wish) (place, error) {
	choice, err := b.gateway.picker.Pick(ctx, Query{
		Workspace:    b.call.workspace.Name,
		Model:        b.model,
		Kind:         b.path,
		PromptTokens: b.generation.promptBytes / bytesPerToken,
		MaxTokens:    b.generation.maxTokens,
		Prefix:       b.generation.prefix,
		Priority:     b.call.options.priority,
		Deadline:     b.call.deadline,
		Avoid:        w.avoid,
		AvoidSites:   w.sites,
		Version:      w.version,
	})
	if err != nil {
		return place{}, err
	}
	e := choice.Expected
	return place{
		target:   attempt.Target{Group: choice.Group, Epoch: e.Epoch, Version: e.Version},
		crash:    attempt.Crash{Group: choice.Group, Epoch: e.Epoch, Site: choice.Site},
		address:  choice.Address,
		expected: choice,
		slot:     choice.Slot,
	}, nil
}

// send starts an attempt. An answer whose head names another attempt, group,
// epoch, version or boot is dropped.
func (b *engineBackend) send(ctx context.Context, p place, s sending) (answer, *failureError) {
	id := fmt.Sprintf("%s-%d", b.call.id, s.id)
	a, err := b.gateway.engine.Generate(ctx, p.address, engine.Request{
		ID:       b.call.id,
		Attempt:  id,
		Path:     b.path,
		Body:     b.call.body,
		Expected: p.expected.Expected,
		Offset:   s.offset,
		Priority: string(b.priority(p)),
		Timeout:  s.timeout,
		NoRetry:  !b.call.idempotent,
		OnWrite:  s.written,
	})
	if err != nil {
		return answer{}, engineFailure(err)
	}
	if a.Identity != p.expected.Expected || a.Attempt != id {
		_ = a.Body.Close()
		return answer{}, fail(attempt.FailureIdentity, errOtherAnswer)
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

// priority lets long work yield to other work at the engine unless its caller
// has asked for more.
func (b *engineBackend) priority(p place) Priority {
	if p.expected.Long && b.call.options.priority == PriorityNormal {
		return PriorityLow
	}
	return b.call.options.priority
}

// engineFailure turns an error of the engine client into the end of an
// attempt.
func engineFailure(err error) *failureError {
	var refused *engine.NotStartedError
	var unreachable *engine.UnreachableError
	switch {
	case errors.As(err, &refused) && refused.Invalid():
		f := fail(attempt.FailureInvalid, err)
		f.rejection = &answer{status: refused.Status}
		return f
	case errors.As(err, &refused):
		return fail(attempt.FailureNotStarted, err)
	case errors.As(err, &unreachable):
		return fail(attempt.FailureUnreachable, err)
	default:
		return fail(attempt.FailureBroken, err)
	}
}

func (b *engineBackend) final(answer) bool {
	return false
}

func (b *engineBackend) crashed(ctx context.Context, p place) bool {
	return crashProbe(ctx, b.gateway.engine, p.expected)
}
