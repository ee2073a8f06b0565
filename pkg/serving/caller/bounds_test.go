package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/bounded/boundedtest"
	"almondbay.example/serving/engine"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/service"
	"almondbay.example/serving/view"
)

const (
	boundsKey  = "key of a caller"
	streamBody = `{"model":"draft","stream":true}`
	bookPath   = "/services/booking/book"
)

// endlessFleet is a gateway in front of one backend server without end, which runs
// both the replica group g0 and the plain service booking.
type endlessFleet struct {
	backend *boundedtest.Server
	gateway *Gateway
	server  *httptest.Server
}

func newEndlessFleet(t *testing.T, clock clockwork.Clock, c boundedtest.Case) *endlessFleet {
	t.Helper()
	f := &endlessFleet{backend: boundedtest.NewServer(t, c)}
	v := view.New(time.Hour)
	v.SetVMs([]fleet.VM{{ID: "s0", Address: f.backend.Address, Role: fleet.RoleService, Service: "booking", State: fleet.VMLive}})
	v.SetDocument(1, document.Document{
		Models:     []document.Model{{Name: "draft", Version: "1"}},
		Workspaces: []document.Workspace{{Name: "lisbon", KeyHashes: []string{keys.Digest(boundsKey)}}},
		Services:   []document.Service{{Name: "booking"}},
	})
	f.gateway = New(Config{
		View: v, Clock: clock, Picker: onePicker{f.backend.Address},
		Engine:  expectedEngine{enginehttp.New(enginehttp.Config{ControlTimeout: time.Minute})},
		Service: service.NewClient(), Table: platform.NewMemory(), Limits: Limits{Linger: -1},
	})
	f.server = httptest.NewUnstartedServer(f.gateway)
	f.server.Config = f.gateway.Server()
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

// post sends a request to the gateway and returns the status and the body of the
// response.
func (f *endlessFleet) post(ctx context.Context, path, body string, header map[string]string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	keys.NewSecret(boundsKey).Authorize(request.Header)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	// Only the end of a stream tells why it ended.
	tail, err := readTail(response.Body)
	return response.StatusCode, tail, err
}

// readTail reads r to its end and returns the last bytes.
func readTail(r io.Reader) (string, error) {
	const keep = 4 << 10
	buffer := make([]byte, 32<<10)
	var tail []byte
	for {
		n, err := r.Read(buffer)
		tail = append(tail, buffer[:n]...)
		tail = tail[max(0, len(tail)-keep):]
		if errors.Is(err, io.EOF) {
			return string(tail), nil
		}
		if err != nil {
			return string(tail), err
		}
	}
}

// onePicker picks the replica group g0 at an address.
type onePicker struct{ address string }

func (p onePicker) Pick(_ context.Context, q Query) (Choice, error) {
	if len(q.Avoid) > 0 {
		return Choice{}, &UnavailableError{Model: q.Model}
	}
	return Choice{Group: "g0", Address: p.address, Slot: noSlot{}}, nil
}

type noSlot struct{}

func (noSlot) Progress(int) {}
func (noSlot) Finish(int)   {}
func (noSlot) Release()     {}

// expectedEngine gives answers the identity that the gateway expects.
type expectedEngine struct{ engine.Engine }

func (e expectedEngine) Generate(ctx context.Context, address string, r engine.Request) (engine.Answer, error) {
	a, err := e.Engine.Generate(ctx, address, r)
	a.Identity, a.Attempt = r.Expected, r.Attempt
	return a, err
}

// requireProblem fails the test unless a response reports a problem with the code
// and the text.
func requireProblem(t *testing.T, body string, err error, code, text string) {
	t.Helper()
	if err != nil || !strings.Contains(body, fmt.Sprintf(`"code":%q`, code)) || !strings.Contains(body, text) {
		t.Errorf("got response %q, error %v, want code %s and %q", body, err, code, text)
	}
}

// TestAnswerWithoutEnd guards against an answer without end that is not a stream,
// and against an error that does not say which server sent it.
func TestAnswerWithoutEnd(t *testing.T) {
	tests := map[string]struct {
		path, body, server string
		header             map[string]string
	}{
		"generation":        {enginewire.PathCompletions, `{"model":"draft"}`, "g0", nil},
		"booked generation": {enginewire.PathCompletions, `{"model":"draft"}`, "g0", booked},
		"service":           {bookPath, "", "s0", nil},
		"booked service":    {bookPath, "", "s0", booked},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEndlessFleet(t, clockwork.NewRealClock(), boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"})
			_, body, err := f.post(t.Context(), tt.path, tt.body, tt.header)
			requireProblem(t, body, err, CodeBrokenAnswer, "body of the response of "+tt.server+" exceeds 8388608 bytes")
			f.backend.RequireClosed(t)
		})
	}
}

// TestHeadWithoutEnd guards against an error that does not say which server sent a
// head without end, or that tells a caller its address.
func TestHeadWithoutEnd(t *testing.T) {
	for path, server := range map[string]string{enginewire.PathCompletions: "g0", bookPath: "s0"} {
		f := newEndlessFleet(t, clockwork.NewRealClock(), boundedtest.HeadCases()[0])
		_, body, err := f.post(t.Context(), path, streamBody, nil)
		requireProblem(t, body, err, CodeBrokenAnswer, "head of the response of "+server+" exceeds 16384 bytes")
		f.backend.RequireClosed(t)
	}
}

// booked are the headers of a call that runs at most once.
var booked = map[string]string{HeaderIdempotencyKey: "key", HeaderIdempotent: "false"}

// TestStreamWithoutEnd guards against a stream that holds a request until its
// deadline without a token for its caller, and against an error that does not say
// which server sent it.
func TestStreamWithoutEnd(t *testing.T) {
	const token = "id: 0+1\ndata: x\n\n"
	const skipped = "part without new tokens of the response of g0 exceeds 16777216 bytes"
	tests := []struct {
		boundedtest.Case
		text string
	}{
		{boundedtest.Case{Name: "event", Start: token + "data: ", Repeat: "x"}, "event of the response of g0 exceeds 1048576 bytes"},
		{boundedtest.Case{Name: "comments", Start: token, Repeat: ": comment\n\n"}, skipped},
		{boundedtest.Case{Name: "events without tokens", Start: token, Repeat: "id: 1+0\ndata: x\n\n"}, skipped},
		{boundedtest.Case{Name: "repeated tokens", Start: token, Repeat: token}, skipped},
	}
	for _, tt := range tests {
		t.Run(tt.Name, func(t *testing.T) {
			tt.Start = boundedtest.HeadEvents + tt.Start
			f := newEndlessFleet(t, clockwork.NewRealClock(), tt.Case)
			_, body, err := f.post(t.Context(), enginewire.PathCompletions, streamBody, nil)
			requireProblem(t, body, err, CodeBrokenAnswer, tt.text)
			f.backend.RequireClosed(t)
		})
	}
}

// TestStreamEndsAtDeadline guards against a stream that outlives the deadline of
// its request.
func TestStreamEndsAtDeadline(t *testing.T) {
	for _, c := range []boundedtest.Case{
		{Name: "tokens", Repeat: "data: x\n\n", Unlimited: true},
		{Name: "silence", Start: "data: x\n\n"},
	} {
		t.Run(c.Name, func(t *testing.T) {
			c.Start = boundedtest.HeadEvents + c.Start
			f := newEndlessFleet(t, clockwork.NewRealClock(), c)
			_, body, err := f.post(t.Context(), enginewire.PathCompletions, streamBody, map[string]string{HeaderTimeout: "200ms"})
			requireProblem(t, body, err, CodeDeadline, "deadline")
			f.backend.RequireClosed(t)
		})
	}
}

// TestSilenceAfterEndMarker guards against a complete stream whose backend server
// holds the request until its deadline by leaving the body open.
func TestSilenceAfterEndMarker(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	f := newEndlessFleet(t, clock, boundedtest.Case{Start: boundedtest.HeadEvents + "data: x\n\ndata: [DONE]\n\n"})
	answered, answer := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		defer answer()
		_, body, err := f.post(t.Context(), enginewire.PathCompletions, streamBody, map[string]string{HeaderTimeout: "1m"})
		if err == nil && !strings.HasSuffix(body, "data: [DONE]\n\n") {
			err = fmt.Errorf("stream ends with %q, want the end marker", body)
		}
		return err
	})
	if err := clock.BlockUntilContext(answered, 1); err != nil {
		t.Error("request ended at its deadline, want a limit on the wait for the end of the body")
	}
	clock.Advance(drainTimeout)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	f.backend.RequireClosed(t)
}

// TestBookedStreamWithoutEnd guards against the report that the caller closed the
// connection when the answer is too large.
func TestBookedStreamWithoutEnd(t *testing.T) {
	f := newEndlessFleet(t, clockwork.NewRealClock(), boundedtest.Case{Start: boundedtest.HeadEvents, Repeat: "data: x\n\n"})
	status, body, err := f.post(t.Context(), enginewire.PathCompletions, streamBody, booked)
	requireProblem(t, body, err, CodeBrokenAnswer, "body of the response of g0 exceeds 8388608 bytes")
	if status != http.StatusBadGateway {
		t.Errorf("got status %d, want %d", status, http.StatusBadGateway)
	}
	f.backend.RequireClosed(t)
}

// TestAnswersMemory guards against answers that each keep to their limit but not
// all together, and against shares that are not returned.
func TestAnswersMemory(t *testing.T) {
	const answers = 512 << 10
	tests := map[string]struct {
		response   boundedtest.Case
		path, body string
		header     map[string]string
	}{
		"generation":     {boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"}, enginewire.PathCompletions, `{"model":"draft"}`, nil},
		"service":        {boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"}, bookPath, "", nil},
		"event":          {boundedtest.Case{Start: boundedtest.HeadEvents, Repeat: "x"}, enginewire.PathCompletions, streamBody, nil},
		"booked stream":  {boundedtest.Case{Start: boundedtest.HeadEvents, Repeat: "data: x\n\n"}, enginewire.PathCompletions, streamBody, booked},
		"booked service": {boundedtest.Case{Start: boundedtest.HeadBody, Repeat: "x"}, bookPath, "", booked},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEndlessFleet(t, clockwork.NewRealClock(), tt.response)
			f.gateway.limits.answers = semaphore.NewWeighted(answers)
			status, body, err := f.post(t.Context(), tt.path, tt.body, tt.header)
			requireProblem(t, body, err, CodeOverloaded, "exceed the memory limit")
			if status != http.StatusServiceUnavailable {
				t.Errorf("got status %d, want %d", status, http.StatusServiceUnavailable)
			}
			f.backend.RequireClosed(t)
			f.server.Close()
			if !f.gateway.limits.answers.TryAcquire(answers) {
				t.Error("not all memory was returned")
			}
		})
	}
}
