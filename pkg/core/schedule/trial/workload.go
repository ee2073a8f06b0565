package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// longPart is the part of requests that are longFactor times as long.
	longPart   = 0.02
	longFactor = 30
	// promptCost is the cost of a prompt token in generated tokens.
	promptCost = 0.03
	// templates is the number of shared prompt prefixes of a workspace.
	templates = 4
	// spread is the standard deviation of the logarithm of lengths.
	spread = 0.4
)

// kind is one sort of request.
type kind struct {
	name string
	// part is the fraction of requests that are of the kind.
	part         float64
	promptTokens float64
	prefixTokens int
	tokens       float64
}

// Workload describes the callers of one deployment.
type Workload struct {
	Name  string
	kinds []kind
	// domainHop is the one-way time between failure domains.
	domainHop time.Duration
	// ramp is how long demand takes to grow to the crest.
	ramp       time.Duration
	workspaces []workspace
}

// workspace has a share of the fleet and a part of the demand.
type workspace struct {
	name   string
	share  float64
	demand float64
}

// Cartaz is a meeting of franchisees: drafting and rewriting, demand grows
// within two seconds.
func Cartaz() Workload {
	return Workload{
		Name: "cartaz",
		kinds: []kind{
			{name: "draft", part: 0.5, promptTokens: 600, prefixTokens: 400, tokens: 120},
			{name: "rewrite", part: 0.5, promptTokens: 300, prefixTokens: 150, tokens: 60},
		},
		domainHop:  time.Millisecond,
		ramp:       2 * time.Second,
		workspaces: tenWorkspaces(),
	}
}

// Sava is a morning of fitters: many short colour questions beside quotes that
// run several times as long.
func Sava() Workload {
	return Workload{
		Name: "sava",
		kinds: []kind{
			{name: "colour", part: 0.8, promptTokens: 200, prefixTokens: 120, tokens: 35},
			{name: "quote", part: 0.2, promptTokens: 1200, prefixTokens: 500, tokens: 260},
		},
		domainHop:  400 * time.Microsecond,
		ramp:       10 * time.Second,
		workspaces: tenWorkspaces(),
	}
}

// tenWorkspaces returns three large workspaces, which ask for more than their
// share at the crest, and seven small ones, which stay within theirs.
func tenWorkspaces() []workspace {
	const large, all = 3, 10
	var list []workspace
	for i := range all {
		w := workspace{name: fmt.Sprintf("w%d", i), share: 1, demand: 0.19 / (all - large)}
		if i < large {
			w.share, w.demand = 3, 0.81/large
		}
		list = append(list, w)
	}
	return list
}

// request is one request of the trace.
type request struct {
	at        time.Duration
	workspace int
	kind      string
	long      bool
	// prompt and tokens are the true lengths; maxTokens is what the caller
	// declares.
	prompt    int
	prefix    uint64
	shared    int
	tokens    int
	maxTokens int
	// retry counts the times that the caller has been refused before.
	retry int
}

// work is the cost of the request in generated tokens.
func (r *request) work() float64 {
	return float64(r.tokens) + promptCost*float64(r.prompt)
}

// meanWork returns the expected work of a request.
func (w Workload) meanWork() float64 {
	const samples = 200_000
	random := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range samples {
		r := w.draw(random)
		sum += r.work()
	}
	return sum / samples
}

// draw returns a request without a time.
func (w Workload) draw(random *rand.Rand) *request {
	r := &request{workspace: w.drawWorkspace(random)}
	k := w.drawKind(random)
	factor := 1.0
	if random.Float64() < longPart {
		r.long = true
		factor = longFactor
	}
	stretch := func() float64 { return math.Exp(random.NormFloat64()*spread - spread*spread/2) }
	r.kind = k.name
	r.prompt = max(1, int(k.promptTokens*factor*stretch()))
	r.tokens = max(1, int(k.tokens*factor*stretch()))
	r.shared = min(k.prefixTokens, r.prompt)
	r.prefix = uint64(1 + r.workspace*templates + random.IntN(templates))
	if k.name == w.kinds[1].name {
		r.prefix += 1 << 20
	}
	r.maxTokens = declared(r.tokens)
	return r
}

// declared rounds up to what callers usually ask for.
func declared(tokens int) int {
	limit := 512
	for limit < tokens {
		limit *= 2
	}
	return limit
}

func (w Workload) drawWorkspace(random *rand.Rand) int {
	x := random.Float64()
	for i, s := range w.workspaces {
		x -= s.demand
		if x < 0 {
			return i
		}
	}
	return len(w.workspaces) - 1
}

func (w Workload) drawKind(random *rand.Rand) kind {
	x := random.Float64()
	for _, k := range w.kinds {
		x -= k.part
		if x < 0 {
			return k
		}
	}
	return w.kinds[0]
}

// phases of a trial.
const (
	warm  = 100 * time.Second
	crest = 60 * time.Second
	tail  = 20 * time.Second
	// settle is the part of the crest that is not measured for goodput.
	settle = 5 * time.Second
	// crestFactor is the growth of demand.
	crestFactor = 8
)

// rate returns the demand at a time, in multiples of the base.
func (w Workload) rate(at time.Duration, flat bool) float64 {
	switch {
	case flat:
		return 1
	case at < warm || at > warm+crest:
		return 1
	case at < warm+w.ramp:
		return 1 + (crestFactor-1)*float64(at-warm)/float64(w.ramp)
	default:
		return crestFactor
	}
}

// trace draws all requests of a trial. base is in requests per second.
func (w Workload) trace(base float64, flat bool, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 3))
	peak := base * crestFactor
	if flat {
		peak = base
	}
	var list []*request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= warm+crest+tail {
			return list
		}
		r := w.draw(random)
		r.at = at
		if random.Float64()*peak < base*w.rate(at, flat) {
			list = append(list, r)
		}
	}
}
