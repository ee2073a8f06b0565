package schedule

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerOctave is the resolution of a distribution in buckets per
	// factor of two.
	bucketsPerOctave = 4
	distributionSize = 24 * bucketsPerOctave
	// distributionLimit is the sample count at which all counts are halved, so
	// that old samples lose weight.
	distributionLimit = 512
	// minSamples is the number of samples below which a distribution is not
	// used.
	minSamples = 8
	// maxPredictors limits the number of distributions in each map of a
	// predictor.
	maxPredictors = 16384
)

// distribution is a histogram with logarithmic buckets and decaying counts. The
// zero value is empty.
type distribution struct {
	counts [distributionSize]uint16
	total  int
}

// add records a sample; samples below one count as one.
func (d *distribution) add(x float64) {
	i := bucketOf(x)
	d.counts[i]++
	d.total++
	if d.total >= distributionLimit {
		d.halve()
	}
}

func (d *distribution) halve() {
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += int(d.counts[i])
	}
}

// quantile returns the upper edge of the bucket that holds quantile q, or zero
// when there are too few samples.
func (d *distribution) quantile(q float64) float64 {
	if d.total < minSamples {
		return 0
	}
	rest := int(math.Ceil(q * float64(d.total)))
	for i, n := range d.counts {
		rest -= int(n)
		if rest <= 0 {
			return upperEdges[i]
		}
	}
	return upperEdges[distributionSize-1]
}

// upperEdges holds the upper edge of each bucket.
var upperEdges = func() (edges [distributionSize]float64) {
	for i := range edges {
		edges[i] = math.Exp2(float64(i+1) / bucketsPerOctave)
	}
	return edges
}()

func bucketOf(x float64) int {
	if x <= 1 {
		return 0
	}
	return min(distributionSize-1, int(math.Log2(x)*bucketsPerOctave))
}

// predictorKey selects the requests that share a distribution.
type predictorKey struct {
	workspace string
	kind      string
	// promptSize and maxSize are binary orders of magnitude of the prompt
	// tokens and the token limit.
	promptSize int
	maxSize    int
}

// predictor estimates how many tokens a request generates from finished
// requests.
type predictor struct {
	byKey map[predictorKey]*distribution
	// bySize aggregates all workspaces and kinds; it serves combinations
	// without enough samples.
	bySize map[predictorKey]*distribution
}

func newPredictor() *predictor {
	return &predictor{
		byKey:  make(map[predictorKey]*distribution),
		bySize: make(map[predictorKey]*distribution),
	}
}

func keyOf(r *Request) predictorKey {
	return predictorKey{
		workspace:  r.Workspace,
		kind:       r.Kind,
		promptSize: bits.Len(uint(max(r.PromptTokens, 0))),
		maxSize:    bits.Len(uint(max(r.MaxTokens, 0))),
	}
}

// predict returns the expected number of generated tokens, at most the caller's
// own limit.
func (p *predictor) predict(r *Request, fallback float64) float64 {
	key := keyOf(r)
	expected := 0.0
	if d := p.byKey[key]; d != nil {
		expected = d.quantile(predictQuantile)
	}
	if expected == 0 {
		expected = p.pooled(key)
	}
	if expected == 0 {
		expected = fallback
	}
	if r.MaxTokens > 0 {
		expected = min(expected, float64(r.MaxTokens))
	}
	return expected
}

func (p *predictor) pooled(key predictorKey) float64 {
	key.workspace, key.kind = "", ""
	if d := p.bySize[key]; d != nil {
		return d.quantile(predictQuantile)
	}
	return 0
}

// learn records how many tokens a request generated.
func (p *predictor) learn(r *Request, tokens int) {
	key := keyOf(r)
	add(p.byKey, key, tokens)
	key.workspace, key.kind = "", ""
	add(p.bySize, key, tokens)
}

func add(m map[predictorKey]*distribution, key predictorKey, tokens int) {
	d := m[key]
	if d == nil {
		if len(m) >= maxPredictors {
			return
		}
		d = &distribution{}
		m[key] = d
	}
	d.add(float64(tokens))
}
