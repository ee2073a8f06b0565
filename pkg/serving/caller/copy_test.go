package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/engine/enginewire"
	"almondbay.example/serving/keys"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/service"
	"almondbay.example/serving/service/servicetest"
	"almondbay.example/serving/view"
)

// newCopyingFleet returns a gateway in front of one server that sends copies of its
// rejections, and runs both the replica group g0 and the plain service booking.
func newCopyingFleet(t *testing.T, s *servicetest.Server) *endlessFleet {
	t.Helper()
	v := view.New(time.Hour)
	v.SetVMs([]fleet.VM{{ID: "s0", Address: s.Address, Role: fleet.RoleService, Service: "booking", State: fleet.VMLive}})
	v.SetDocument(1, document.Document{
		Models:     []document.Model{{Name: "draft", Version: "1"}},
		Workspaces: []document.Workspace{{Name: "lisbon", KeyHashes: []string{keys.Digest(boundsKey)}}},
		Services:   []document.Service{{Name: "booking"}},
	})
	f := &endlessFleet{gateway: New(Config{
		View: v, Clock: clockwork.NewRealClock(), Picker: onePicker{s.Address},
		Engine:  enginehttp.New(enginehttp.Config{ControlTimeout: time.Minute}),
		Service: service.NewClient(), Table: platform.NewMemory(), Limits: Limits{Linger: -1},
	})}
	f.server = httptest.NewUnstartedServer(f.gateway)
	f.server.Config = f.gateway.Server()
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

// copyCalls are the kinds of calls, by path and headers.
var copyCalls = map[string]struct {
	path   string
	header map[string]string
}{
	"generation":        {enginewire.PathCompletions, nil},
	"generation once":   {enginewire.PathCompletions, map[string]string{HeaderIdempotent: "false"}},
	"booked generation": {enginewire.PathCompletions, map[string]string{HeaderIdempotent: "false", HeaderIdempotencyKey: "key-"}},
	"service":           {bookPath, map[string]string{HeaderIdempotent: "true", HeaderIdempotencyKey: "key-"}},
	"service once":      {bookPath, map[string]string{HeaderIdempotent: "false"}},
	"booked service":    {bookPath, map[string]string{HeaderIdempotent: "false", HeaderIdempotencyKey: "key-"}},
}

// TestCopyOfRejectionIsNotBelieved guards against a caller who is told that a request
// was not run though it was, and against a booking that runs twice: the server sent a
// copy of an earlier rejection on the connection.
func TestCopyOfRejectionIsNotBelieved(t *testing.T) {
	for name := range copyCalls {
		// The clients' tests have the other forms.
		for _, form := range servicetest.Rejections()[:4] {
			for _, moment := range servicetest.Moments() {
				for _, sequence := range servicetest.Sequences() {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", name, form.Name(), moment, sequence.Name), func(t *testing.T) {
						playCopies(t, name, servicetest.Config{Rejection: form, Moment: moment}, sequence)
					})
				}
			}
		}
	}
}

// playCopies makes the calls of a sequence through a gateway.
func playCopies(t *testing.T, name string, c servicetest.Config, sequence servicetest.Sequence) {
	t.Helper()
	s := servicetest.NewServer(t, c)
	f := newCopyingFleet(t, s)
	kind := copyCalls[name]
	// A call that goes on a connection of its own always gets its answer.
	own := name != "generation"
	for _, call := range sequence.Calls {
		s.Plan(call.Action)
		body := fmt.Sprintf(`{"model":"draft","user":%q}`, call.Key)
		header := map[string]string{}
		for k, v := range kind.header {
			if k == HeaderIdempotencyKey {
				v += call.Key
			}
			header[k] = v
		}
		before := s.Runs(body)
		status, text, err := f.post(t.Context(), kind.path, body, header)
		if err != nil {
			t.Fatal(err)
		}
		runs := s.Runs(body)
		switch ran := runs > before; {
		case ran && strings.Contains(text, `"outcome":"notRun"`):
			t.Errorf("call %s ran, and its caller got %d %s", call.Key, status, text)
		case ran && status == http.StatusOK && text != servicetest.Answer(body):
			t.Errorf("call %s got the answer %q", call.Key, text)
		case ran && own && status != http.StatusOK:
			t.Errorf("call %s ran, and its caller got %d %s, want its answer", call.Key, status, text)
		case strings.HasPrefix(name, "booked") && runs > 1:
			t.Errorf("call %s ran %d times", call.Key, runs)
		}
	}
	requireUnique(t, s.Attempts())
}

// requireUnique fails the test if two sends named the same attempt.
func requireUnique(t *testing.T, attempts []string) {
	t.Helper()
	named := slices.DeleteFunc(attempts, func(a string) bool { return a == "" })
	slices.Sort(named)
	if unique := slices.Compact(slices.Clone(named)); len(unique) < len(named) {
		t.Errorf("sends named the same attempt: %q", named)
	}
}
