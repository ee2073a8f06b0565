package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// longFraction is the fraction of requests that are longFactor times as
	// long.
	longFraction = 0.02
	longFactor   = 30
	// promptCost is the cost of a prompt token, in units of one generated
	// token.
	promptCost = 0.03
	// templates is the number of shared prompt prefixes per workspace.
	templates = 4
	// spread is the standard deviation of the logarithm of prompt and output
	// lengths.
	spread = 0.4
)

// kind is a type of request.
type kind struct {
	name string
	// fraction is the fraction of requests of this kind.
	fraction     float64
	promptTokens float64
	prefixTokens int
	tokens       float64
}

// Workload describes the requests to one deployment.
type Workload struct {
	Name  string
	kinds []kind
	// domainDelay is the one-way delay between failure domains.
	domainDelay time.Duration
	// ramp is how long the demand takes to rise to the peak.
	ramp       time.Duration
	workspaces []workspace
}

// workspace has a scheduling share and a fraction of the demand.
type workspace struct {
	name   string
	share  float64
	demand float64
}

// Cartaz models a meeting of franchisees: drafting and rewriting, with demand
// that rises within two seconds.
func Cartaz() Workload {
	return Workload{
		Name: "cartaz",
		kinds: []kind{
			{name: "draft", fraction: 0.5, promptTokens: 600, prefixTokens: 400, tokens: 120},
			{name: "rewrite", fraction: 0.5, promptTokens: 300, prefixTokens: 150, tokens: 60},
		},
		domainDelay: time.Millisecond,
		ramp:        2 * time.Second,
		workspaces:  tenWorkspaces(),
	}
}

// Sava models a morning of fitters: many short color questions mixed with
// quotes that run several times as long.
func Sava() Workload {
	return Workload{
		Name: "sava",
		kinds: []kind{
			{name: "colour", fraction: 0.8, promptTokens: 200, prefixTokens: 120, tokens: 35},
			{name: "quote", fraction: 0.2, promptTokens: 1200, prefixTokens: 500, tokens: 260},
		},
		domainDelay: 400 * time.Microsecond,
		ramp:        10 * time.Second,
		workspaces:  tenWorkspaces(),
	}
}

// tenWorkspaces returns three large workspaces, whose demand exceeds their
// share at the peak, and seven small ones, which stay within theirs.
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

// request is a request of the trace.
type request struct {
	at        time.Duration
	workspace int
	kind      string
	long      bool
	// prompt and tokens are the actual lengths; maxTokens is the limit set by
	// the caller.
	prompt    int
	prefix    uint64
	shared    int
	tokens    int
	maxTokens int
	// retry counts the earlier refusals of this request.
	retry int
}

// work returns the cost of the request in generated tokens.
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

// draw returns a random request without an arrival time.
func (w Workload) draw(random *rand.Rand) *request {
	r := &request{workspace: w.drawWorkspace(random)}
	k := w.drawKind(random)
	factor := 1.0
	if random.Float64() < longFraction {
		r.long = true
		factor = longFactor
	}
	randomScale := func() float64 { return math.Exp(random.NormFloat64()*spread - spread*spread/2) }
	r.kind = k.name
	r.prompt = max(1, int(k.promptTokens*factor*randomScale()))
	r.tokens = max(1, int(k.tokens*factor*randomScale()))
	r.shared = min(k.prefixTokens, r.prompt)
	r.prefix = uint64(1 + r.workspace*templates + random.IntN(templates))
	if k.name == w.kinds[1].name {
		r.prefix += 1 << 20
	}
	r.maxTokens = declaredLimit(r.tokens)
	return r
}

// declaredLimit returns the token limit that a caller sets for a request of
// this length: a power of two of at least 512.
func declaredLimit(tokens int) int {
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
		x -= k.fraction
		if x < 0 {
			return k
		}
	}
	return w.kinds[0]
}

// Phases of a trial.
const (
	warmup   = 100 * time.Second
	peak     = 60 * time.Second
	cooldown = 20 * time.Second
	// settle is the start of the peak that is excluded from goodput.
	settle = 5 * time.Second
	// peakFactor is the ratio of the demand at the peak to the base demand.
	peakFactor = 8
)

// rate returns the demand at a time, as a multiple of the base demand.
func (w Workload) rate(at time.Duration, flat bool) float64 {
	switch {
	case flat:
		return 1
	case at < warmup || at > warmup+peak:
		return 1
	case at < warmup+w.ramp:
		return 1 + (peakFactor-1)*float64(at-warmup)/float64(w.ramp)
	default:
		return peakFactor
	}
}

// trace draws all requests of a trial; base is the base demand in requests per
// second.
func (w Workload) trace(base float64, flat bool, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 3))
	maxRate := base * peakFactor
	if flat {
		maxRate = base
	}
	var list []*request
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= warmup+peak+cooldown {
			return list
		}
		r := w.draw(random)
		r.at = at
		if random.Float64()*maxRate < base*w.rate(at, flat) {
			list = append(list, r)
		}
	}
}
