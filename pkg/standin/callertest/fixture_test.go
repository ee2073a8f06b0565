// Package callertest tests the gateway for callers over real HTTP connections,
// with fake engines, fake plain services and an in-memory platform.
package callertest

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"almondbay.example/core/attempt"
	"almondbay.example/core/document"
	"almondbay.example/core/fleet"
	"almondbay.example/core/group"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/engine/enginehttp"
	"almondbay.example/serving/platform"
	"almondbay.example/serving/service"
	"almondbay.example/serving/view"
	"almondbay.example/standin/enginestandin"
	"almondbay.example/standin/servicestandin"
)

const (
	key         = "secret"
	otherKey    = "secret of another workspace"
	chatPath    = "/v1/chat/completions"
	bookPath    = "/services/booking/book"
	crashMarker = "POISON"
)

// table is an in-memory table service whose commits a test can intercept.
type table struct {
	*platform.Memory
	mu   sync.Mutex
	hook func(t platform.Transaction, apply func() error) error
}

func (b *table) Commit(ctx context.Context, t platform.Transaction) error {
	b.mu.Lock()
	hook := b.hook
	b.mu.Unlock()
	apply := func() error { return b.Memory.Commit(ctx, t) }
	if hook == nil {
		return apply()
	}
	return hook(t, apply)
}

// onCommit sets a hook that runs in place of each commit. The hook calls apply
// to apply the commit, and its error is returned to the gateway.
func (b *table) onCommit(f func(t platform.Transaction, apply func() error) error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hook = f
}

// fixture is a set of nodes with a gateway each, in front of a fake fleet.
type fixture struct {
	t        testing.TB
	clock    clockwork.Clock
	view     *view.View
	table    *table
	service  *servicestandin.Server
	nodes    []*httptest.Server
	gateways []*caller.Gateway
	groups   []*replicaGroup
	vms      []fleet.VM
	crashes  atomic.Int64
}

// replicaGroup is a fake replica group of two members, the first of which leads.
type replicaGroup struct {
	fixture *fixture
	id      string
	mu      sync.Mutex
	epoch   uint64
	members []*httptest.Server
}

type fixtureConfig struct {
	nodes, groups int
	// clock defaults to the real clock.
	clock clockwork.Clock
	// engine and gateway, if not nil, change the default configuration of each
	// member and of each gateway.
	engine  func(group int, c *enginestandin.Config)
	gateway func(c *caller.Config)
}

func newFixture(t testing.TB, c fixtureConfig) *fixture {
	f := &fixture{
		t: t, clock: clockwork.NewRealClock(), view: view.New(time.Hour),
		table: &table{Memory: platform.NewMemory()}, service: servicestandin.New("svc"),
	}
	if c.clock != nil {
		f.clock = c.clock
	}
	svc := httptest.NewServer(f.service)
	t.Cleanup(svc.Close)
	for _, id := range []string{"svc", "svc2"} { // One server under two IDs, so that it counts the runs at both VMs.
		f.setVM(fleet.VM{ID: id, Address: svc.Listener.Addr().String(), Role: fleet.RoleService, Service: "booking", State: fleet.VMLive})
	}
	for i := range c.groups {
		f.groups = append(f.groups, &replicaGroup{fixture: f, id: fmt.Sprintf("g%d", i)})
		f.groups[i].start(i, c.engine)
	}
	sum, otherSum := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(otherKey))
	f.view.SetDocument(1, document.Document{
		Models: []document.Model{{Name: "demo", Version: "1"}},
		Workspaces: []document.Workspace{
			{Name: "w", KeyHashes: []string{hex.EncodeToString(sum[:])}},
			{Name: "other", KeyHashes: []string{hex.EncodeToString(otherSum[:])}},
		},
		Services: []document.Service{{Name: "booking", NonIdempotent: []document.Call{{Method: "*", Path: "/book"}}}},
	})
	for range c.nodes {
		f.addNode(c.gateway)
	}
	return f
}

func (f *fixture) addNode(change func(c *caller.Config)) {
	c := caller.Config{
		View: f.view, Clock: f.clock, Picker: &lowestIDPicker{f}, Service: service.NewClient(),
		Engine: enginehttp.New(enginehttp.Config{ControlTimeout: time.Second}), Table: f.table, Peers: &peers{fixture: f, self: len(f.nodes)},
		Limits: caller.Limits{Linger: -1},
	}
	if change != nil {
		change(&c)
	}
	g := caller.New(c)
	s := httptest.NewUnstartedServer(g)
	s.Config = g.Server()
	s.Start()
	f.t.Cleanup(s.Close)
	f.gateways, f.nodes = append(f.gateways, g), append(f.nodes, s)
}

// start starts new members under the next epoch, with the epoch as their boot.
func (p *replicaGroup) start(i int, change func(int, *enginestandin.Config)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	g := group.Row{ID: p.id, Epoch: p.epoch, State: group.StateServing, Model: "demo", Version: "1", Boots: map[string]string{}}
	p.members = nil
	var members []*enginestandin.Member
	for m := range 2 {
		id := fmt.Sprintf("%s-%d", p.id, m)
		c := enginestandin.Config{ID: id, Boot: fmt.Sprint(p.epoch), Clock: p.fixture.clock, Slots: 2000, CrashMarker: crashMarker}
		c.Crash = func() { p.crash(i, change) }
		if change != nil {
			change(i, &c)
		}
		member := enginestandin.NewMember(c)
		s := httptest.NewServer(enginestandin.NewServer(member))
		p.fixture.t.Cleanup(s.Close)
		p.members, members = append(p.members, s), append(members, member)
		g.Members = append(g.Members, id)
		g.Boots[id] = c.Boot
		p.fixture.setVM(fleet.VM{ID: id, Address: s.Listener.Addr().String(), FabricDomain: "f" + p.id, Role: fleet.RoleBackend, State: fleet.VMLive})
	}
	for _, member := range members {
		member.ApplyOrder(fleet.Order{Term: 1, Group: g.ID, Epoch: g.Epoch, Members: g.Members, Model: g.Model, Version: g.Version})
		report := member.Report()
		report.SeenAt = p.fixture.clock.Now()
		p.fixture.view.SetReport(report)
	}
	p.fixture.setGroup(g)
}

// crash closes all connections of the leader and starts the group again.
func (p *replicaGroup) crash(i int, change func(int, *enginestandin.Config)) {
	p.fixture.crashes.Add(1)
	p.mu.Lock()
	leader := p.members[0]
	p.mu.Unlock()
	_ = leader.Listener.Close()
	leader.CloseClientConnections()
	p.start(i, change)
}

// fixtureMu guards fixtureGroups and the VMs of all fixtures.
var fixtureMu sync.Mutex

// setVM adds or replaces a VM in the view.
func (f *fixture) setVM(vm fleet.VM) {
	fixtureMu.Lock()
	defer fixtureMu.Unlock()
	var vms []fleet.VM
	for _, o := range f.vms {
		if o.ID != vm.ID {
			vms = append(vms, o)
		}
	}
	f.vms = append(vms, vm)
	f.view.SetVMs(f.vms)
}

// fixtureGroups holds the group rows of each fixture by group ID.
var fixtureGroups = map[*fixture]map[string]group.Row{}

// setGroup adds or replaces a group row in the view.
func (f *fixture) setGroup(g group.Row) {
	fixtureMu.Lock()
	defer fixtureMu.Unlock()
	if fixtureGroups[f] == nil {
		fixtureGroups[f] = map[string]group.Row{}
	}
	fixtureGroups[f][g.ID] = g
	var groups []group.Row
	for _, o := range fixtureGroups[f] {
		groups = append(groups, o)
	}
	f.view.SetGroups(groups)
}

// lowestIDPicker picks the allowed group with the lowest ID, so that tests know
// which group runs a request first.
type lowestIDPicker struct{ fixture *fixture }

func (p *lowestIDPicker) Pick(_ context.Context, q caller.Query) (caller.Choice, error) {
	all := p.fixture.view.Targets(q.Model, p.fixture.clock.Now())
	allowed := caller.Allowed(all, q)
	if len(allowed) == 0 {
		return caller.Choice{}, &caller.UnavailableError{Model: q.Model}
	}
	first := slices.MinFunc(allowed, func(a, b view.Target) int { return strings.Compare(a.Group.ID, b.Group.ID) })
	return caller.ChoiceOf(first, caller.Site(all, first), noopSlot{}), nil
}

// noopSlot is a slot of a group without limits.
type noopSlot struct{}

func (noopSlot) Progress(int) {}
func (noopSlot) Finish(int)   {}
func (noopSlot) Release()     {}

// peers connects the gateways of a fixture by direct calls. Node 0 grants the
// suspect requests of all groups.
type peers struct {
	fixture *fixture
	self    int
}

func (p *peers) Announce(_ context.Context, e attempt.Evidence) {
	for i, g := range p.fixture.gateways {
		if i != p.self {
			g.MergeEvidence(e)
		}
	}
}

func (p *peers) Grant(_ context.Context, group string, f attempt.Fingerprint) bool {
	return p.fixture.gateways[0].Grant(group, f)
}

func (p *peers) Release(_ context.Context, group string, f attempt.Fingerprint) {
	p.fixture.gateways[0].Release(group, f)
}

// reply is the complete answer that a caller received.
type reply struct {
	status  int
	code    string
	outcome string
	// keyOutcome is the outcome under the idempotency key, if the answer reports
	// it separately from the outcome of this request.
	keyOutcome string
	text       string
	body       string
	header     http.Header
	// done is set if the stream ended with [DONE].
	done bool
	// connectionClose is set if the answer has the header Connection: close.
	connectionClose bool
	err             error
}

// headers are the additional headers of a request.
type headers map[string]string

// send posts body to a node and reads the complete answer.
func (f *fixture) send(node int, path, body string, h headers) reply {
	request, err := http.NewRequest(http.MethodPost, f.nodes[node].URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range h {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	out := reply{status: response.StatusCode, header: response.Header, connectionClose: response.Close, body: string(data), err: err}
	for line := range bytes.Lines(data) {
		payload, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if found || !bytes.HasPrefix(data, []byte("id:")) {
			out.parseLine(payload)
		}
	}
	return out
}

// parseLine parses one line of an answer: an error, a complete answer or a chunk
// of a stream. It ignores lines that are not JSON.
func (o *reply) parseLine(data []byte) {
	if string(data) == "[DONE]" {
		o.done = true
	}
	var v struct {
		Error   struct{ Code, Outcome, KeyOutcome string }
		Choices []struct{ Delta, Message struct{ Content string } }
	}
	if json.Unmarshal(data, &v) != nil {
		return
	}
	if v.Error.Code != "" {
		o.code, o.outcome, o.keyOutcome = v.Error.Code, v.Error.Outcome, v.Error.KeyOutcome
	}
	for _, c := range v.Choices {
		o.text += c.Delta.Content + c.Message.Content
	}
}

// chat returns the body of a chat request and the text that a fake engine
// generates for it.
func chat(prompt string, stream bool, tokens int) (body, text string) {
	body = fmt.Sprintf(`{"model":"demo","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	return body, enginestandin.Text("user: "+prompt, 0, tokens)
}
