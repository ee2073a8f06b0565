package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"almondbay.example/core/attempt"
)

// crash returns a crash of a group in a fabric domain.
func crash(group, fabric int) attempt.Crash {
	return attempt.Crash{Group: fmt.Sprintf("g%d", group), Epoch: 1, Site: fmt.Sprintf("f%d", fabric)}
}

func fingerprint(name string) attempt.Fingerprint {
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
			"all requests in flight during one crash are suspects",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": suspect, "b": suspect, "other": clear},
		},
		{
			"a second crash quarantines the common request and clears the others",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"p", crash(2, 2), 0}, {"c", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": quarantined, "b": clear, "c": clear},
		},
		{
			"two requests with the same crashes stay suspects",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": suspect, "b": suspect},
		},
		{
			"a third crash decides between two requests",
			[]observation{{"p", crash(1, 1), 0}, {"b", crash(1, 1), 0}, {"b", crash(2, 2), 0}, {"p", crash(2, 2), 0}, {"p", crash(3, 3), 0}},
			nil, 0,
			map[string]attempt.QuarantineStatus{"p": quarantined, "b": clear},
		},
		{"two crashes of one group count as one", []observation{{"p", crash(1, 1), 0}, {"p", attempt.Crash{Group: "g1", Epoch: 2, Site: "f1"}, 0}}, nil, 0, map[string]attempt.QuarantineStatus{"p": suspect}},
		{"two crashes in one fabric domain count as one", []observation{{"b", crash(1, 1), 0}, {"b", crash(2, 1), 0}}, nil, 0, map[string]attempt.QuarantineStatus{"b": suspect}},
		{"crashes in an outage of a fabric domain do not count", []observation{{"b", crash(1, 1), 0}, {"c", crash(2, 1), 0}, {"d", crash(3, 1), 0}}, nil, 0, map[string]attempt.QuarantineStatus{"b": clear, "c": clear}},
		{"three crashes of one fabric domain under one request quarantine it", []observation{{"p", crash(1, 1), 0}, {"p", crash(2, 1), 0}, {"p", crash(3, 1), 0}, {"b", crash(3, 1), 0}}, nil, 0, map[string]attempt.QuarantineStatus{"p": quarantined, "b": clear}},
		{"a success clears a suspect", []observation{{"b", crash(1, 1), 0}}, []string{"b"}, 0, map[string]attempt.QuarantineStatus{"b": clear}},
		{"observations expire", []observation{{"b", crash(1, 1), 0}}, nil, 11 * time.Minute, map[string]attempt.QuarantineStatus{"b": clear}},
		{"observations further apart than the TTL do not add up", []observation{{"b", crash(1, 1), 0}, {"b", crash(2, 2), 11 * time.Minute}}, nil, 0, map[string]attempt.QuarantineStatus{"b": suspect}},
		{"a quarantine lasts for its TTL", []observation{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 59 * time.Minute, map[string]attempt.QuarantineStatus{"p": quarantined}},
		{"a quarantine expires", []observation{{"p", crash(1, 1), 0}, {"p", crash(2, 2), 0}}, nil, 61 * time.Minute, map[string]attempt.QuarantineStatus{"p": clear}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, now := attempt.NewQuarantine(attempt.DefaultQuarantineConfig()), start
			for _, s := range tt.observations {
				now = now.Add(s.after)
				q.RecordCrash(fingerprint(s.request), s.crash, now)
			}
			for _, name := range tt.cleared {
				q.Clear(fingerprint(name))
			}
			now = now.Add(tt.wait)
			q.Expire(now)
			got := map[string]attempt.QuarantineStatus{}
			for name := range tt.want {
				got[name] = q.Status(fingerprint(name), now)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNodesWithSameEvidenceAgree checks that a node which receives encoded evidence
// in another order derives the same status for each request.
func TestNodesWithSameEvidenceAgree(t *testing.T) {
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
			a.RecordCrash(fingerprint(fmt.Sprint(s.request)), s.crash, start)
		}
		for _, s := range rapid.Permutation(observations).Draw(t, "order") {
			value, err := attempt.EncodeEvidence(attempt.Evidence{
				Fingerprint: fingerprint(fmt.Sprint(s.request)), Observations: []attempt.CrashObservation{{Crash: s.crash, Age: time.Second}},
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
			f := fingerprint(fmt.Sprint(i))
			if x, y := a.Status(f, start), b.Status(f, start); x != y {
				t.Fatalf("request %d has status %v on one node and %v on the other", i, x, y)
			}
		}
		if diff := cmp.Diff(len(a.QuarantinedEvidence(start)), len(b.QuarantinedEvidence(start))); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestInFlightAdmitsOneSuspectPerGroup checks that a group runs at most one suspect
// at a time, and that a quarantined request is not admitted.
func TestInFlightAdmitsOneSuspectPerGroup(t *testing.T) {
	q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
	f := attempt.NewInFlight(q)
	q.RecordCrash(fingerprint("p"), crash(1, 1), start)
	q.RecordCrash(fingerprint("b"), crash(1, 1), start)
	admit := func(group, request string, want bool) {
		t.Helper()
		if got := f.Admit(group, fingerprint(request), start); got != want {
			t.Errorf("request %s admitted to %s: got %v, want %v", request, group, got, want)
		}
	}
	admit("g2", "p", true)
	admit("g2", "b", false)
	admit("g2", "fresh", true)
	admit("g3", "b", true)
	f.Done("g2", fingerprint("p"))
	f.Done("g3", fingerprint("b"))
	admit("g2", "b", true)
	q.RecordCrash(fingerprint("p"), crash(2, 2), start)
	admit("g4", "p", false)
}

func TestQuarantineEvictsBeyondMaxRequests(t *testing.T) {
	q := attempt.NewQuarantine(attempt.QuarantineConfig{ObservationTTL: time.Hour, QuarantineTTL: time.Hour, MaxRequests: 2})
	suspects := 0
	for i := range 10_000 {
		q.RecordCrash(fingerprint(fmt.Sprint(i)), crash(i, i), start)
	}
	for i := range 10_000 {
		if q.Status(fingerprint(fmt.Sprint(i)), start) == attempt.StatusSuspect {
			suspects++
		}
	}
	if suspects > 2*64 {
		t.Errorf("%d requests kept, want at most 128", suspects)
	}
}

// TestQuickRepeatsAreNoOutage guards against a request that is repeated so quickly
// that its crashes in one fabric domain count as an outage and against nobody: it was
// sent on and on.
func TestQuickRepeatsAreNoOutage(t *testing.T) {
	q := attempt.NewQuarantine(attempt.DefaultQuarantineConfig())
	p := fingerprint("p")
	crashes := 0
	for i := 1; i <= 20 && q.Status(p, start) != attempt.StatusQuarantined; i++ {
		crashes++
		q.RecordCrash(p, crash(i, 1), start.Add(time.Duration(i)*time.Second))
	}
	if crashes != 3 {
		t.Errorf("quarantined after %d crashes of one fabric domain, want 3", crashes)
	}
}

// TestCompletionRefutesCrashes guards against the quarantine of a request that many
// servers answer while some of them are lost for another reason, at a node that
// learns of the crashes before or after the completion.
func TestCompletionRefutesCrashes(t *testing.T) {
	config := attempt.DefaultQuarantineConfig()
	config.CompletionGrace = 10 * time.Second
	f := fingerprint("hot")
	own, other := attempt.NewQuarantine(config), attempt.NewQuarantine(config)
	for i := 1; i <= 5; i++ {
		own.RecordCrash(f, crash(i, i), start)
	}
	if s := own.Status(f, start); s != attempt.StatusQuarantined {
		t.Fatalf("status %d after five crashes, want quarantined", s)
	}
	early := own.Evidence(f, start)
	own.RecordCompletion(f, start.Add(time.Second))
	other.Merge(own.Evidence(f, start.Add(time.Second)), start.Add(time.Second))
	if other.Merge(early, start.Add(2*time.Second)); other.Status(f, start.Add(2*time.Second)) != attempt.StatusClear {
		t.Error("old evidence counts at a node that knows of the completion")
	}
	if s := own.Status(f, start.Add(2*time.Second)); s != attempt.StatusClear {
		t.Errorf("status %d after the completion, want clear", s)
	}
	for i := 11; i <= 13; i++ {
		own.RecordCrash(f, crash(i, i), start.Add(20*time.Second))
	}
	if s := own.Status(f, start.Add(20*time.Second)); s != attempt.StatusQuarantined {
		t.Errorf("status %d after three crashes long after the completion, want quarantined", s)
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

func TestGroupIsGrantedToOneSuspect(t *testing.T) {
	grants := attempt.NewSuspectGrants()
	grant := func(request string, after time.Duration, want bool) {
		t.Helper()
		if got := grants.Grant("g", fingerprint(request), start.Add(after), time.Minute); got != want {
			t.Errorf("group granted to request %s after %v: got %v, want %v", request, after, got, want)
		}
	}
	grant("a", 0, true)
	grant("b", 0, false)
	grants.Release("g", fingerprint("b"))
	grant("b", 59*time.Second, false)
	grant("b", 61*time.Second, true)
	grants.Release("g", fingerprint("b"))
	grant("a", 61*time.Second, true)
}
