package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
)

func crash(group, fabric int) attempt.Crash {
	return attempt.Crash{Group: fmt.Sprintf("g%d", group), Epoch: 1, Site: fmt.Sprintf("f%d", fabric)}
}

func print(name string) attempt.Fingerprint {
	return attempt.NewFingerprint([]byte(name))
}

func TestQuarantineStanding(t *testing.T) {
	const clear, suspect, quarantined = attempt.StandingClear, attempt.StandingSuspect, attempt.StandingQuarantined
	type strike struct {
		request string
		crash   attempt.Crash
		after   time.Duration
	}
	tests := []struct {
		name    string
		strikes []strike
		cleared []string
		wait    time.Duration
		want    map[string]attempt.Standing
	}{
		{
			"one crash makes suspects",
			[]strike{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}},
			nil, 0,
			map[string]attempt.Standing{"p": suspect, "b": suspect, "other": clear},
		},
		{
			"a second crash convicts and explains both",
			[]strike{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"p", crash(2, 2), 0}, {"c", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.Standing{"p": quarantined, "b": clear, "c": clear},
		},
		{
			"a rival with as many crashes postpones",
			[]strike{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.Standing{"p": suspect, "b": suspect},
		},
		{
			"the third crash decides",
			[]strike{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}, {"p", crash(3, 3), 0}},
			nil, 0,
			map[string]attempt.Standing{"p": quarantined, "b": clear},
		},
		{"the same group twice", []strike{{"p", crash(1, 1), 0}, {"p", attempt.Crash{Group: "g1", Epoch: 2, Site: "f1"}, 0}}, nil, 0, map[string]attempt.Standing{"p": suspect}},
		{"two crashes in one fabric domain", []strike{{"b", crash(1, 1), 0}, {"b", crash(2, 1), 0}}, nil, 0, map[string]attempt.Standing{"b": suspect}},
		{"a fabric domain goes dark", []strike{{"b", crash(1, 1), 0}, {"c", crash(2, 1), 0}, {"d", crash(3, 1), 0}}, nil, 0, map[string]attempt.Standing{"b": clear, "c": clear}},
		{"success clears", []strike{{"b", crash(1, 1), 0}}, []string{"b"}, 0, map[string]attempt.Standing{"b": clear}},
		{"strikes expire", []strike{{"b", crash(1, 1), 0}}, nil, 11 * time.Minute, map[string]attempt.Standing{"b": clear}},
		{"strikes far apart", []strike{{"b", crash(1, 1), 0}, {"b", crash(2, 2), 11 * time.Minute}}, nil, 0, map[string]attempt.Standing{"b": suspect}},
		{"quarantine lasts", []strike{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 59 * time.Minute, map[string]attempt.Standing{"p": quarantined}},
		{"quarantine ends", []strike{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 61 * time.Minute, map[string]attempt.Standing{"p": clear}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, now := attempt.NewQuarantine(attempt.DefaultQuarantineConfig()), start
			for _, s := range tt.strikes {
				now = now.Add(s.after)
				q.Strike(print(s.request), s.crash, now)
			}
			for _, name := range tt.cleared {
				q.Clear(print(name))
			}
			now = now.Add(tt.wait)
			q.Expire(now)
			got := map[string]attempt.Standing{}
			for name := range tt.want {
				got[name] = q.Standing(print(name), now)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNodesAgree checks that nodes with the same evidence agree, whatever
// order it came in, and that the evidence survives its encoding.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type strike struct {
			request int
			crash   attempt.Crash
		}
		var strikes []strike
		for range rapid.IntRange(1, 12).Draw(t, "strikes") {
			g := rapid.IntRange(1, 4).Draw(t, "group")
			strikes = append(strikes, strike{rapid.IntRange(1, 3).Draw(t, "request"), crash(g, g)})
		}
		a, b := attempt.NewQuarantine(attempt.DefaultQuarantineConfig()), attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
		for _, s := range strikes {
			a.Strike(print(fmt.Sprint(s.request)), s.crash, start)
		}
		for _, s := range rapid.Permutation(strikes).Draw(t, "order") {
			value, err := attempt.EncodeConviction(attempt.Conviction{
				Fingerprint: print(fmt.Sprint(s.request)), Strikes: []attempt.Strike{{Crash: s.crash, Age: time.Second}},
			})
			if err != nil {
				t.Fatal(err)
			}
			c, err := attempt.DecodeConviction(value)
			if err != nil {
				t.Fatal(err)
			}
			b.Learn(c, start.Add(time.Second))
		}
		for i := 1; i <= 3; i++ {
			f := print(fmt.Sprint(i))
			if x, y := a.Standing(f, start), b.Standing(f, start); x != y {
				t.Fatalf("request %d is %v here and %v there", i, x, y)
			}
		}
		if diff := cmp.Diff(len(a.Convictions(start)), len(b.Convictions(start))); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestFlightsKeepSuspectsApart(t *testing.T) {
	q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
	f := attempt.NewFlights(q)
	q.Strike(print("p"), crash(1, 1), start)
	q.Strike(print("b"), crash(1, 1), start)
	enter := func(group, request string, want bool) {
		t.Helper()
		if got := f.Enter(group, print(request), start); got != want {
			t.Errorf("%s enters %s: %v", request, group, got)
		}
	}
	enter("g2", "p", true)
	enter("g2", "b", false)
	enter("g2", "fresh", true)
	enter("g3", "b", true)
	f.Leave("g2", print("p"))
	f.Leave("g3", print("b"))
	enter("g2", "b", true)
	q.Strike(print("p"), crash(2, 2), start)
	enter("g4", "p", false)
}

func TestQuarantineIsBounded(t *testing.T) {
	q := attempt.NewQuarantine(attempt.QuarantineConfig{StrikeTTL: time.Hour, QuarantineTTL: time.Hour, MaxRequests: 2})
	suspects := 0
	for i := range 10_000 {
		q.Strike(print(fmt.Sprint(i)), crash(i, i), start)
	}
	for i := range 10_000 {
		if q.Standing(print(fmt.Sprint(i)), start) == attempt.StandingSuspect {
			suspects++
		}
	}
	if suspects > 2*64 {
		t.Errorf("%d requests remembered, bound is 128", suspects)
	}
}

func FuzzDecodeConviction(f *testing.F) {
	f.Add([]byte(`{"fingerprint":"","crashes":[{"group":"g","epoch":1,"ageMs":5}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		c, err := attempt.DecodeConviction(value)
		if err != nil {
			return
		}
		q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
		q.Learn(c, start)
		q.Standing(c.Fingerprint, start)
	})
}

func TestTrialsGrantOneSuspect(t *testing.T) {
	trials := attempt.NewTrials()
	grant := func(request string, after time.Duration, want bool) {
		t.Helper()
		if got := trials.Grant("g", print(request), start.Add(after), time.Minute); got != want {
			t.Errorf("%s is granted the group after %v: %v", request, after, got)
		}
	}
	grant("a", 0, true)
	grant("b", 0, false)
	trials.Release("g", print("b"))
	grant("b", 59*time.Second, false)
	grant("b", 61*time.Second, true)
	trials.Release("g", print("b"))
	grant("a", 61*time.Second, true)
}
