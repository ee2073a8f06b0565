package operator_test

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

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondbay.example/core/burn"
	"almondbay.example/core/document"
	"almondbay.example/core/revision"
	"almondbay.example/serving/drain"
	"almondbay.example/serving/environment"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/operator"
	"almondbay.example/serving/operator/operatorclient"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/status"
)

const (
	anaKey = "ana's key for the admin API"
	ruiKey = "rui's key for the admin API"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// body returns a document with one model of the version.
func body(version string) []byte {
	return fmt.Appendf(nil, `{"models": [{"name": "draft", "version": %q, "groups": 1, "span": 1}]}`, version)
}

// lossyTable is a table service that, while lost is true, applies commits but
// loses their answers, and fails to read the rows that exist.
type lossyTable struct {
	*platform.Memory
	lost bool
}

func (l *lossyTable) Commit(ctx context.Context, t platform.Transaction) error {
	if err := l.Memory.Commit(ctx, t); err != nil || !l.lost {
		return err
	}
	return &platform.UnknownError{Reason: "answer lost"}
}

func (l *lossyTable) Read(ctx context.Context, key string) (platform.Row, error) {
	if l.lost {
		if row, _ := l.Memory.Read(ctx, key); row.Version > 0 {
			return platform.Row{}, &platform.UnknownError{Reason: "answer lost"}
		}
	}
	return l.Memory.Read(ctx, key)
}

type fixture struct {
	server *httptest.Server
	table  *lossyTable
	logs   *observer.ObservedLogs
	status status.Status
	report burn.Report
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	memory := platform.NewMemory()
	core, logs := observer.New(zap.DebugLevel)
	f := &fixture{table: &lossyTable{Memory: memory}, logs: logs}
	clock := clockwork.NewFakeClockAt(noon)
	api := operator.New(operator.Config{
		Operators:  []keys.Holder{{Name: "ana", Digest: keys.Digest(anaKey)}, {Name: "rui", Digest: keys.Digest(ruiKey)}},
		Store:      environment.New(environment.Config{Table: f.table, Objects: memory, Clock: clock, Attempts: 2}),
		Drains:     drain.New(drain.Config{Table: f.table, Clock: clock}),
		Clock:      clock,
		Logger:     zap.New(core),
		Status:     func() status.Status { return f.status },
		Burn:       func(context.Context) (burn.Report, []string, error) { return f.report, []string{"entry-2"}, nil },
		OnAccepted: func(context.Context, string) {},
		Metrics:    http.NotFoundHandler(),
	})
	f.server = httptest.NewServer(api)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fixture) client(key string, servers ...string) *operatorclient.Client {
	return operatorclient.New(operatorclient.Config{
		Servers: append(servers, f.server.URL), Key: keys.NewSecret(key), HTTP: f.server.Client(),
	})
}

// Two operators change the same revision. The second one must be refused with
// the changes of the first, instead of overwriting them.
func TestConcurrentCommandIsRefusedWithChanges(t *testing.T) {
	f := newFixture(t)
	ana, rui := f.client(anaKey), f.client(ruiKey)
	if _, err := ana.Accept(t.Context(), "trial", "one", 0, body("v1")); err != nil {
		t.Fatal(err)
	}
	// Both saw revision 1; the command of Rui arrives first.
	if _, err := rui.Accept(t.Context(), "trial", "two", 1, body("v2")); err != nil {
		t.Fatal(err)
	}
	_, err := ana.Accept(t.Context(), "trial", "three", 1, body("v3"))
	var refused *operatorclient.RefusedError
	if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
		t.Fatalf("second command on revision 1 got error %v, want a conflict", err)
	}
	want := []document.Change{{Path: "models/draft/version", Before: "v1", After: "v2"}}
	if diff := cmp.Diff(want, refused.Changes); diff != "" {
		t.Errorf("changes in the conflict (-want +got):\n%s", diff)
	}
	if refused.Current.Author != "rui" || refused.Current.Revision != 2 {
		t.Errorf("conflict shows current revision %+v, want revision 2 by rui", refused.Current)
	}
	repeated, err := rui.Accept(t.Context(), "trial", "two", 1, body("v2"))
	if err != nil || repeated.Revision != 2 {
		t.Errorf("repeating the accepted command got %+v, %v; want revision 2", repeated, err)
	}
	entries, err := ana.History(t.Context(), "trial")
	if err != nil || len(entries) != 2 {
		t.Errorf("got history %+v, %v; want 2 entries", entries, err)
	}
}

// An answer can be lost between the platform and the node, or between the node
// and the client. The client must report an unknown outcome, and repeating the
// command must not create a second revision.
func TestLostAnswerIsUnknownOutcomeAndRepeatable(t *testing.T) {
	f := newFixture(t)
	client := f.client(anaKey)
	f.table.lost = true
	_, err := client.Accept(t.Context(), "trial", "one", 0, body("v1"))
	var unknown *operatorclient.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Fatalf("command whose commit answer was lost got error %v, want UnknownOutcomeError", err)
	}
	f.table.lost = false
	entry, err := client.Accept(t.Context(), "trial", "one", 0, body("v1"))
	if err != nil || entry.Revision != 1 {
		t.Errorf("repeating the command got %+v, %v; want revision 1", entry, err)
	}
	// This server carries out the command and aborts the connection.
	broken := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		forwarded, _ := http.NewRequestWithContext(r.Context(), r.Method, f.server.URL+r.URL.String(), r.Body)
		forwarded.Header = r.Header
		if answer, err := f.server.Client().Do(forwarded); err == nil {
			_ = answer.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	entry, err = f.client(anaKey, broken.URL).Accept(t.Context(), "trial", "two", 1, body("v2"))
	if err != nil || entry.Revision != 2 {
		t.Errorf("command with a second server got %+v, %v; want revision 2", entry, err)
	}
	only := operatorclient.New(operatorclient.Config{Servers: []string{broken.URL}, Key: keys.NewSecret(anaKey), HTTP: broken.Client()})
	if _, err := only.Accept(t.Context(), "trial", "three", 2, body("v3")); !errors.As(err, &unknown) {
		t.Errorf("command with only the broken server got error %v, want UnknownOutcomeError", err)
	}
}

func TestPromoteUndoAndDrainTakeEffect(t *testing.T) {
	f := newFixture(t)
	client := f.client(anaKey)
	for i, version := range []string{"v1", "v2"} {
		if _, err := client.Accept(t.Context(), "trial", version, uint64(i), body(version)); err != nil {
			t.Fatal(err)
		}
	}
	promoted, err := client.Promote(t.Context(), "trial", "production", revision.Promotion{Operation: "p", SourceRevision: 2})
	if err != nil || promoted.Source != (revision.Source{Environment: "trial", Revision: 2}) {
		t.Errorf("Promote got %+v, %v; want source revision 2 of trial", promoted, err)
	}
	_, bytes, err := client.Document(t.Context(), "production", 0)
	if err != nil || string(bytes) != string(body("v2")) {
		t.Errorf("document of production is %q, %v; want the one of trial", bytes, err)
	}
	undone, err := client.Undo(t.Context(), "trial", revision.UndoRequest{Operation: "u", Parent: 2, To: 1})
	if err != nil || undone.Revision != 3 || undone.Kind != revision.KindUndo {
		t.Errorf("Undo got %+v, %v; want revision 3 of kind undo", undone, err)
	}
	none, _, err := client.Document(t.Context(), "elsewhere", 0)
	if err != nil || none.Revision != 0 {
		t.Errorf("environment without a document got %+v, %v; want a zero entry", none, err)
	}
	if err := client.Drain(t.Context(), "vm-1"); err != nil {
		t.Error(err)
	}
	drains, err := drain.New(drain.Config{Table: f.table}).List(t.Context())
	if err != nil || len(drains) != 1 || drains[0].VM != "vm-1" || drains[0].Author != "ana" {
		t.Errorf("got drains %+v, %v; want vm-1 by ana", drains, err)
	}
	if err := client.ClearDrain(t.Context(), "vm-1"); err != nil {
		t.Error(err)
	}
}

// The client must return the status and the burn report as the node has them, and
// the page must escape names that come from other nodes.
func TestStatusAndBurnRoundTripAndPageEscapesNames(t *testing.T) {
	f := newFixture(t)
	f.status = status.Status{
		Node: "entry-1", FailureDomain: "lisbon-1", Environment: "trial", At: noon, Ready: true, Reasons: []string{}, Leases: []string{"fabric-1"},
		Revision: revision.FollowerState{Entry: revision.Entry{Revision: 7, Hash: "ab", Kind: revision.KindApply, AcceptedAt: noon}, Confirmed: true},
		Models:   []status.Model{{Name: "draft", Version: "v1", Wanted: 3, Serving: 2}},
		Groups:   []status.Group{{ID: "draft-0", Model: "draft", Version: "v1", Epoch: 4, State: "serving", Members: []string{"vm-1"}, Serving: true}},
		VMs:      []status.VM{{ID: "vm-1", Role: "backend", FailureDomain: "lisbon-1", State: "live", SeenAt: noon}},
		Nodes:    []status.Node{{ID: "entry-2", FailureDomain: "lisbon-2", Revision: 6, SeenAt: noon}, {ID: "<script>"}},
	}
	got, err := f.client(anaKey).Status(t.Context())
	if diff := cmp.Diff(f.status, got); diff != "" || err != nil {
		t.Errorf("status: error %v, diff (-want +got):\n%s", err, diff)
	}
	if got.Distance() != 1 || len(got.Lagging()) != 2 {
		t.Errorf("got distance %d, lagging %v; want distance 1 and 2 lagging nodes", got.Distance(), got.Lagging())
	}
	recorder := burn.NewRecorder()
	recorder.Record(burn.Series{Workspace: "lisbon", Model: "draft"}, false, noon)
	objective := document.Objective{FirstToken: 2 * time.Second, BetweenToken: 45 * time.Millisecond, Target: 0.95}
	plan := document.Document{Workspaces: []document.Workspace{{Name: "lisbon", Objective: objective}}}
	f.report = burn.NewReport(burn.DefaultPolicy(), plan, recorder.Histories(noon), noon)
	report, missing, err := f.client(anaKey).Burn(t.Context())
	if diff := cmp.Diff(f.report, report); diff != "" || err != nil || len(missing) != 1 {
		t.Errorf("burn: error %v, missing nodes %v (want 1), diff (-want +got):\n%s", err, missing, diff)
	}
	page := f.send(t, http.MethodGet, "/", "", anaKey)
	if page.code != http.StatusOK || !strings.Contains(page.body, "lisbon-2") || strings.Contains(page.body, "<script>") {
		t.Errorf("got page with status %d, want 200, lisbon-2 and no <script>:\n%s", page.code, page.body)
	}
}

type response struct {
	code int
	body string
}

// send sends a request with a bearer key, or with a basic authentication password.
func (f *fixture) send(t *testing.T, method, path, key, password string) response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if password != "" {
		request.SetBasicAuth("operator", password)
	}
	reply, err := f.server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{reply.StatusCode, string(body)}
}

// Every path, known or not, must reject requests without an operator's key, and
// the digest of a key must not work as a key. A password is valid for GET only;
// neither keys nor passwords may be logged.
func TestRequestsWithoutOperatorKeyAreRejected(t *testing.T) {
	f := newFixture(t)
	caller := "a caller's key"
	paths := map[string]string{
		"/": http.MethodGet, "/metrics": http.MethodGet, "/v1/status": http.MethodGet, "/v1/burn": http.MethodGet,
		"/v1/environments/trial/document": http.MethodPut, "/v1/environments/trial/history": http.MethodGet,
		"/v1/environments/trial/promotion": http.MethodPost, "/v1/environments/trial/undoing": http.MethodPost,
		"/v1/drains": http.MethodGet, "/v1/drains/vm-1": http.MethodDelete, "/nowhere": http.MethodGet,
	}
	for path, method := range paths {
		for _, key := range []string{"", caller, keys.Digest(anaKey)} {
			if got := f.send(t, method, path, key, ""); got.code != http.StatusUnauthorized || got.body != "" {
				t.Errorf("%s %s with key %q got %+v, want status 401 and an empty body", method, path, key, got)
			}
		}
	}
	if got := f.send(t, http.MethodDelete, "/v1/drains/vm-1", "", anaKey); got.code != http.StatusUnauthorized {
		t.Errorf("DELETE with a password got %+v, want status 401", got)
	}
	for _, line := range f.logs.All() {
		if text := fmt.Sprint(line.Message, line.ContextMap()); strings.Contains(text, caller) || strings.Contains(text, anaKey) {
			t.Errorf("log line contains a key: %s", text)
		}
	}
	if f.logs.Len() == 0 {
		t.Error("rejected requests are not logged")
	}
}

// A request that is refused before it runs must have the right status and state
// that the command had no effect, so that the client does not report an unknown
// outcome.
func TestRefusedRequestReportsStatusAndNotRun(t *testing.T) {
	f := newFixture(t)
	tests := []struct {
		method, path string
		want         int
	}{
		{http.MethodGet, "/v1/environments/trial/document", http.StatusNotFound},
		{http.MethodGet, "/v1/environments/trial/history", http.StatusNotFound},
		{http.MethodGet, "/nowhere", http.StatusNotFound},
		{http.MethodGet, "/v1/environments/a%2Fb/history", http.StatusBadRequest},
		{http.MethodPut, "/v1/drains/a%2Fb", http.StatusBadRequest},
		{http.MethodPut, "/v1/environments/trial/document?parent=0&operation=", http.StatusBadRequest},
		{http.MethodPut, "/v1/environments/trial/document?parent=x&operation=a", http.StatusBadRequest},
		{http.MethodPut, "/v1/environments/trial/document?parent=0&operation=a", http.StatusUnprocessableEntity},
		{http.MethodPost, "/v1/environments/trial/promotion", http.StatusBadRequest},
		{http.MethodPost, "/v1/environments/trial/undoing", http.StatusBadRequest},
	}
	for _, test := range tests {
		got := f.send(t, test.method, test.path, anaKey, "")
		if got.code != test.want || !strings.Contains(got.body, `"outcome":"notRun"`) {
			t.Errorf("%s %s got %+v, want status %d and outcome notRun", test.method, test.path, got, test.want)
		}
	}
}
