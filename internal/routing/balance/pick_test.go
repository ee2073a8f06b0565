package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// newCandidates returns candidates with the given loads.
func newCandidates(loads ...float64) []candidate {
	var all []candidate
	for i, load := range loads {
		h := &head{}
		h.ID = fmt.Sprint(i)
		all = append(all, candidate{head: h, load: load})
	}
	return all
}

// TestChoiceOfHeadEnds guards against a choice that never ends, with the pool locked: the
// level to which arrivals fill the heads went to and fro between two neighboring numbers.
func TestChoiceOfHeadEnds(t *testing.T) {
	tests := []struct {
		arrivals float64
		loads    []float64
	}{
		{2.2185510028716235, []float64{2, 5.218551002871623}},
		{5.5, []float64{9.7, 8.7, 6.9, 10.7, 7}},
		{4.6, []float64{7, 9.7, 9.299999999999999, 6}},
		{0, []float64{1e17, 2e17}},
		{0, []float64{1e17, 1e17, 1e17}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.arrivals, tt.loads), func(t *testing.T) {
			for _, point := range []float64{0, 0.3, 0.7, math.Nextafter(1, 0)} {
				if pick(newCandidates(tt.loads...), tt.arrivals, point) == nil {
					t.Errorf("no head at point %v", point)
				}
			}
		})
	}
}

// checkChoice chooses a head and checks that it is one of the candidates, and below the
// level if that is a number.
func checkChoice(t interface{ Fatalf(string, ...any) }, loads []float64, arrivals, point float64) {
	candidates := newCandidates(loads...)
	chosen := pick(candidates, arrivals, point)
	level, steps := fillLevel(candidates, arrivals)
	if steps > len(loads)+1 {
		t.Fatalf("loads %v, arrivals %v: %d steps", loads, arrivals, steps)
	}
	below := 0
	for _, c := range candidates {
		if c.load < level {
			below++
		}
	}
	for _, c := range candidates {
		if c.head == chosen && (c.load < level || below == 0) {
			return
		}
	}
	t.Fatalf("loads %v, arrivals %v, point %v: chose %+v, level %v", loads, arrivals, point, chosen, level)
}

// TestChoiceIsBelowLevel guards against a choice that does not end, or that falls on no
// head or an overloaded one, whatever the loads.
func TestChoiceIsBelowLevel(t *testing.T) {
	numbers := map[string]*rapid.Generator[float64]{
		"random":  rapid.Float64Range(0, 40),
		"lattice": rapid.Custom(func(t *rapid.T) float64 { return float64(rapid.IntRange(0, 150).Draw(t, "tenths")) / 10 }),
		"any": rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{
			0, math.Copysign(0, -1), -1, -1e300, 1e300, math.MaxFloat64, math.SmallestNonzeroFloat64, math.Inf(1), math.Inf(-1), math.NaN(),
		})),
	}
	points := rapid.OneOf(rapid.Float64Range(0, math.Nextafter(1, 0)), rapid.SampledFrom([]float64{0, math.Nextafter(1, 0)}))
	for name, number := range numbers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				loads := rapid.SliceOfN(number, 1, 20).Draw(t, "loads")
				arrivals, point := number.Draw(t, "arrivals"), points.Draw(t, "point")
				checkChoice(t, loads, arrivals, point)
				// A load at the level itself is where rounding decides.
				if level, _ := fillLevel(newCandidates(loads...), arrivals); !math.IsInf(level, 0) {
					checkChoice(t, append(loads, level), arrivals, point)
				}
			})
		})
	}
}

// FuzzChoiceOfHead checks choices among three heads.
func FuzzChoiceOfHead(f *testing.F) {
	f.Add(9.7, 8.7, 6.9, 5.5, 0.5)
	f.Add(math.Inf(1), math.NaN(), -1.0, 0.0, 0.0)
	f.Fuzz(func(t *testing.T, a, b, c, arrivals, point float64) {
		if point < 0 || point >= 1 || math.IsNaN(point) {
			return
		}
		checkChoice(t, []float64{a, b, c}, arrivals, point)
	})
}

// formerPick is the choice before it was made to end in any case.
func formerPick(candidates []candidate, arrivals, point float64) *head {
	level, count := math.Inf(1), 0
	for range 1000 {
		sum, below := 0.0, 0
		for _, c := range candidates {
			if c.load < level {
				sum += c.load
				below++
			}
		}
		if below == count {
			break
		}
		count = below
		level = (sum + arrivals + 1) / float64(below)
	}
	left := point * (arrivals + 1)
	var last *head
	for _, c := range candidates {
		if c.load >= level {
			continue
		}
		last = c.head
		left -= level - c.load
		if left < 0 {
			break
		}
	}
	return last
}

// TestChoiceIsAsBefore guards against another distribution of choices than that which the
// simulations and days of the bench were played with.
func TestChoiceIsAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		var loads []float64
		for range 1 + random.IntN(30) {
			loads = append(loads, 20*random.Float64())
		}
		arrivals, point := 10*random.Float64(), random.Float64()
		candidates := newCandidates(loads...)
		if got, want := pick(candidates, arrivals, point), formerPick(candidates, arrivals, point); got != want {
			t.Fatalf("loads %v, arrivals %v, point %v: chose %s, before %s", loads, arrivals, point, got.ID, want.ID)
		}
	}
}

// BenchmarkPick measures a choice, and the one before for comparison.
func BenchmarkPick(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, count := range []int{10, 60, 300} {
		var loads []float64
		for range count {
			loads = append(loads, 20*random.Float64())
		}
		candidates := newCandidates(loads...)
		for name, choose := range map[string]func([]candidate, float64, float64) *head{"pick": pick, "before": formerPick} {
			b.Run(fmt.Sprint(name, " of ", count), func(b *testing.B) {
				for b.Loop() {
					choose(candidates, 4.5, 0.5)
				}
			})
		}
	}
}
