// Package callertest drives the gateway for callers over real connections
// against stand-ins of engines, plain services and the platform.
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

// table is a table service whose commits a test can interfere with.
type table struct {
	*platform.Memory
	mu     sync.Mutex
	commit func(t platform.Transaction, apply func() error) error
}

func (b *table) Commit(ctx context.Context, t platform.Transaction) error {
	b.mu.Lock()
	hook := b.commit
	b.mu.Unlock()
	apply := func() error { return b.Memory.Commit(ctx, t) }
	if hook == nil {
		return apply()
	}
	return hook(t, apply)
}

func (b *table) onCommit(f func(t platform.Transaction, apply func() error) error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commit = f
}

// rig is a fleet of stand-ins with nodes before it.
type rig struct {
	t        testing.TB
	clock    clockwork.Clock
	view     *view.View
	table    *table
	service  *servicestandin.Server
	nodes    []*httptest.Server
	gateways []*caller.Gateway
	groups   []*replica
	vms      []fleet.VM
	crashes  atomic.Int64
}

// replica is one replica group of two members.
type replica struct {
	rig     *rig
	id      string
	mu      sync.Mutex
	epoch   uint64
	members []*httptest.Server
}

type rigConfig struct {
	nodes, groups int
	// clock is a real clock when nil.
	clock   clockwork.Clock
	engine  func(group int, c *enginestandin.Config)
	gateway func(c *caller.Config)
}

func newRig(t testing.TB, c rigConfig) *rig {
	r := &rig{
		t: t, clock: clockwork.NewRealClock(), view: view.New(time.Hour),
		table: &table{Memory: platform.NewMemory()}, service: servicestandin.New("svc"),
	}
	if c.clock != nil {
		r.clock = c.clock
	}
	svc := httptest.NewServer(r.service)
	t.Cleanup(svc.Close)
	for _, id := range []string{"svc", "svc2"} { // One server under two IDs counts the runs of both.
		r.setVM(fleet.VM{ID: id, Address: svc.Listener.Addr().String(), Role: fleet.RoleService, Service: "booking", State: fleet.VMLive})
	}
	for i := range c.groups {
		r.groups = append(r.groups, &replica{rig: r, id: fmt.Sprintf("g%d", i)})
		r.groups[i].start(i, c.engine)
	}
	sum, otherSum := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(otherKey))
	r.view.SetDocument(1, document.Document{
		Models: []document.Model{{Name: "demo", Version: "1"}},
		Workspaces: []document.Workspace{
			{Name: "w", KeyHashes: []string{hex.EncodeToString(sum[:])}},
			{Name: "other", KeyHashes: []string{hex.EncodeToString(otherSum[:])}},
		},
		Services: []document.Service{{Name: "booking", NonIdempotent: []document.Call{{Method: "*", Path: "/book"}}}},
	})
	for range c.nodes {
		r.addNode(c.gateway)
	}
	return r
}

func (r *rig) addNode(change func(c *caller.Config)) {
	c := caller.Config{
		View: r.view, Clock: r.clock, Picker: &firstPicker{r}, Service: service.NewClient(),
		Engine: enginehttp.New(enginehttp.Config{ControlTimeout: time.Second}), Table: r.table, Peers: &peers{rig: r, self: len(r.nodes)},
		Limits: caller.Limits{Linger: -1},
	}
	if change != nil {
		change(&c)
	}
	g := caller.New(c)
	s := httptest.NewUnstartedServer(g)
	s.Config = g.Server()
	s.Start()
	r.t.Cleanup(s.Close)
	r.gateways, r.nodes = append(r.gateways, g), append(r.nodes, s)
}

// start starts the members anew, under the next epoch.
func (p *replica) start(i int, change func(int, *enginestandin.Config)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	g := group.Row{ID: p.id, Epoch: p.epoch, State: group.StateServing, Model: "demo", Version: "1", Boots: map[string]string{}}
	p.members = nil
	var members []*enginestandin.Member
	for m := range 2 {
		id := fmt.Sprintf("%s-%d", p.id, m)
		c := enginestandin.Config{ID: id, Boot: fmt.Sprint(p.epoch), Clock: p.rig.clock, Slots: 2000, CrashMarker: crashMarker}
		c.Crash = func() { p.crash(i, change) }
		if change != nil {
			change(i, &c)
		}
		member := enginestandin.NewMember(c)
		s := httptest.NewServer(enginestandin.NewServer(member))
		p.rig.t.Cleanup(s.Close)
		p.members, members = append(p.members, s), append(members, member)
		g.Members = append(g.Members, id)
		g.Boots[id] = c.Boot
		p.rig.setVM(fleet.VM{ID: id, Address: s.Listener.Addr().String(), FabricDomain: "f" + p.id, Role: fleet.RoleBackend, State: fleet.VMLive})
	}
	for _, member := range members {
		member.Order(fleet.Order{Term: 1, Group: g.ID, Epoch: g.Epoch, Members: g.Members, Model: g.Model, Version: g.Version})
		report := member.Report()
		report.SeenAt = p.rig.clock.Now()
		p.rig.view.SetReport(report)
	}
	p.rig.setGroup(g)
}

// crash cuts all connections of the leader and starts the group anew.
func (p *replica) crash(i int, change func(int, *enginestandin.Config)) {
	p.rig.crashes.Add(1)
	p.mu.Lock()
	leader := p.members[0]
	p.mu.Unlock()
	_ = leader.Listener.Close()
	leader.CloseClientConnections()
	p.start(i, change)
}

var rigMu sync.Mutex

func (r *rig) setVM(vm fleet.VM) {
	rigMu.Lock()
	defer rigMu.Unlock()
	var vms []fleet.VM
	for _, o := range r.vms {
		if o.ID != vm.ID {
			vms = append(vms, o)
		}
	}
	r.vms = append(vms, vm)
	r.view.SetVMs(r.vms)
}

var rigGroups = map[*rig]map[string]group.Row{}

func (r *rig) setGroup(g group.Row) {
	rigMu.Lock()
	defer rigMu.Unlock()
	if rigGroups[r] == nil {
		rigGroups[r] = map[string]group.Row{}
	}
	rigGroups[r][g.ID] = g
	var groups []group.Row
	for _, o := range rigGroups[r] {
		groups = append(groups, o)
	}
	r.view.SetGroups(groups)
}

// firstPicker picks the group with the lowest ID.
type firstPicker struct{ rig *rig }

func (p *firstPicker) Pick(_ context.Context, q caller.Query) (caller.Choice, error) {
	all := p.rig.view.Targets(q.Model, p.rig.clock.Now())
	allowed := caller.Allowed(all, q)
	if len(allowed) == 0 {
		return caller.Choice{}, &caller.UnavailableError{Model: q.Model}
	}
	first := slices.MinFunc(allowed, func(a, b view.Target) int { return strings.Compare(a.Group.ID, b.Group.ID) })
	return caller.ChoiceOf(first, caller.Site(all, first), slot{}), nil
}

type slot struct{}

func (slot) Progress(int) {}
func (slot) Finish(int)   {}
func (slot) Release()     {}

// peers connects the gateways of a rig. Node 0 owns all groups.
type peers struct {
	rig  *rig
	self int
}

func (p *peers) Announce(_ context.Context, c attempt.Evidence) {
	for i, g := range p.rig.gateways {
		if i != p.self {
			g.MergeEvidence(c)
		}
	}
}

func (p *peers) Grant(_ context.Context, group string, f attempt.Fingerprint) bool {
	return p.rig.gateways[0].Grant(group, f)
}

func (p *peers) Release(_ context.Context, group string, f attempt.Fingerprint) {
	p.rig.gateways[0].Release(group, f)
}

// reply is a whole answer to a caller.
type reply struct {
	status  int
	code    string
	outcome string
	// keyOutcome is that of the idempotency key, if the answer tells it apart.
	keyOutcome string
	text       string
	body       string
	header     http.Header
	done       bool
	// closes is set when the answer says that its connection will close.
	closes bool
	err    error
}

type headers map[string]string

func (r *rig) send(node int, path, body string, h headers) reply {
	request, err := http.NewRequest(http.MethodPost, r.nodes[node].URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
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
	whole, err := io.ReadAll(response.Body)
	out := reply{status: response.StatusCode, header: response.Header, closes: response.Close, body: string(whole), err: err}
	for line := range bytes.Lines(whole) {
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if found || !bytes.HasPrefix(whole, []byte("id:")) {
			out.take(data)
		}
	}
	return out
}

// take reads one line of an answer, which may be an error or a part of a
// stream.
func (o *reply) take(data []byte) {
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

// chat returns a body and the text of its answer.
func chat(prompt string, stream bool, tokens int) (body, text string) {
	body = fmt.Sprintf(`{"model":"demo","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	return body, enginestandin.Text("user: "+prompt, 0, tokens)
}
