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
	const clear, suspect, quarantined = attempt.StatusClear, attempt.StatusSuspect, attempt.StatusQuarantined
	type observation struct {
		request string
		crash   attempt.Crash
		after   time.Duration
	}
	tests := []struct {
		name         string
		observations []observation
		cleared      []string
		wait         time.Duration
		want         map[string]attempt.QuarantineStatus
	}{
		{
			"one crash makes suspects",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": suspect, "b": suspect, "other": clear},
		},
		{
			"a second crash convicts and explains both",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"p", crash(2, 2), 0}, {"c", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": quarantined, "b": clear, "c": clear},
		},
		{
			"a rival with as many crashes postpones",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": suspect, "b": suspect},
		},
		{
			"the third crash decides",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}, {"p", crash(3, 3), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": quarantined, "b": clear},
		},
		{"the same group twice", []observation{{"p", crash(1, 1), 0}, {"p", attempt.Crash{Group: "g1", Epoch: 2, Site: "f1"}, 0}}, nil, 0, map[string]attempt.QuarantineStatus{"p": suspect}},
		{"two crashes in one fabric domain", []observation{{"b", crash(1, 1), 0}, {"b", crash(2, 1), 0}}, nil, 0, map[string]attempt.QuarantineStatus{"b": suspect}},
		{"a fabric domain goes dark", []observation{{"b", crash(1, 1), 0}, {"c", crash(2, 1), 0}, {"d", crash(3, 1), 0}}, nil, 0, map[string]attempt.QuarantineStatus{"b": clear, "c": clear}},
		{"success clears", []observation{{"b", crash(1, 1), 0}}, []string{"b"}, 0, map[string]attempt.QuarantineStatus{"b": clear}},
		{"observations expire", []observation{{"b", crash(1, 1), 0}}, nil, 11 * time.Minute, map[string]attempt.QuarantineStatus{"b": clear}},
		{"observations far apart", []observation{{"b", crash(1, 1), 0}, {"b", crash(2, 2), 11 * time.Minute}}, nil, 0, map[string]attempt.QuarantineStatus{"b": suspect}},
		{"quarantine lasts", []observation{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 59 * time.Minute, map[string]attempt.QuarantineStatus{"p": quarantined}},
		{"quarantine ends", []observation{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 61 * time.Minute, map[string]attempt.QuarantineStatus{"p": clear}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, now := attempt.NewQuarantine(attempt.DefaultQuarantineConfig()), start
			for _, s := range tt.observations {
				now = now.Add(s.after)
				q.RecordCrash(print(s.request), s.crash, now)
			}
			for _, name := range tt.cleared {
				q.Clear(print(name))
			}
			now = now.Add(tt.wait)
			q.Expire(now)
			got := map[string]attempt.QuarantineStatus{}
			for name := range tt.want {
				got[name] = q.Status(print(name), now)
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
		type observation struct {
			request int
			crash   attempt.Crash
		}
		var observations []observation
		for range rapid.IntRange(1, 12).Draw(t, "observations") {
			g := rapid.IntRange(1, 4).Draw(t, "group")
			observations = append(observations, observation{rapid.IntRange(1, 3).Draw(t, "request"), crash(g, g)})
		}
		a, b := attempt.NewQuarantine(attempt.DefaultQuarantineConfig()), attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
		for _, s := range observations {
			a.RecordCrash(print(fmt.Sprint(s.request)), s.crash, start)
		}
		for _, s := range rapid.Permutation(observations).Draw(t, "order") {
			value, err := attempt.EncodeEvidence(attempt.Evidence{
				Fingerprint: print(fmt.Sprint(s.request)), Observations: []attempt.CrashObservation{{Crash: s.crash, Age: time.Second}},
			})
			if err != nil {
				t.Fatal(err)
			}
			c, err := attempt.DecodeEvidence(value)
			if err != nil {
				t.Fatal(err)
			}
			b.Merge(c, start.Add(time.Second))
		}
		for i := 1; i <= 3; i++ {
			f := print(fmt.Sprint(i))
			if x, y := a.Status(f, start), b.Status(f, start); x != y {
				t.Fatalf("request %d is %v here and %v there", i, x, y)
			}
		}
		if diff := cmp.Diff(len(a.QuarantinedEvidence(start)), len(b.QuarantinedEvidence(start))); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestFlightsKeepSuspectsApart(t *testing.T) {
	q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
	f := attempt.NewInFlight(q)
	q.RecordCrash(print("p"), crash(1, 1), start)
	q.RecordCrash(print("b"), crash(1, 1), start)
	enter := func(group, request string, want bool) {
		t.Helper()
		if got := f.Admit(group, print(request), start); got != want {
			t.Errorf("%s enters %s: %v", request, group, got)
		}
	}
	enter("g2", "p", true)
	enter("g2", "b", false)
	enter("g2", "fresh", true)
	enter("g3", "b", true)
	f.Done("g2", print("p"))
	f.Done("g3", print("b"))
	enter("g2", "b", true)
	q.RecordCrash(print("p"), crash(2, 2), start)
	enter("g4", "p", false)
}

func TestQuarantineIsBounded(t *testing.T) {
	q := attempt.NewQuarantine(attempt.QuarantineConfig{ObservationTTL: time.Hour, QuarantineTTL: time.Hour, MaxRequests: 2})
	suspects := 0
	for i := range 10_000 {
		q.RecordCrash(print(fmt.Sprint(i)), crash(i, i), start)
	}
	for i := range 10_000 {
		if q.Status(print(fmt.Sprint(i)), start) == attempt.StatusSuspect {
			suspects++
		}
	}
	if suspects > 2*64 {
		t.Errorf("%d requests remembered, bound is 128", suspects)
	}
}

func FuzzDecodeEvidence(f *testing.F) {
	f.Add([]byte(`{"fingerprint":"","crashes":[{"group":"g","epoch":1,"ageMs":5}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		c, err := attempt.DecodeEvidence(value)
		if err != nil {
			return
		}
		q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
		q.Merge(c, start)
		q.Status(c.Fingerprint, start)
	})
}

func TestTrialsGrantOneSuspect(t *testing.T) {
	trials := attempt.NewSuspectGrants()
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
