package explain_test

import (
	"strings"
	"testing"

	"almondbay.example/internal/node/explain"
)

const requestLine = `{"level":"info","ts":100.0,"msg":"request ended","event":901,"request":"ID","service":"llm","model":"large","outcome":"OUTCOME","cause":"CAUSE","tries":"TRIES"}`

func endedLine(outcome, cause, tries string) string {
	return strings.NewReplacer("OUTCOME", outcome, "CAUSE", cause, "TRIES", tries).Replace(requestLine)
}

const (
	planned  = `{"ts":50.0,"msg":"replica group planned","event":952,"group":"g-7","members":"head,b"}`
	released = `{"ts":101.0,"msg":"replica group released","event":953,"group":"g-7","reason":"member lost"}`
	other    = `{"ts":99.0,"msg":"replica group released","event":953,"group":"g-8","reason":"member leaving"}`
	heads    = `{"ts":90.0,"msg":"heads changed","event":951,"service":"llm","model":"large","heads":2}`
	old      = `{"ts":80.0,"msg":"heads changed","event":951,"service":"llm","model":"large","heads":5}`
	later    = `{"ts":100.5,"msg":"heads changed","event":951,"service":"llm","model":"large","heads":0}`
	probed   = `{"ts":104.0,"msg":"head probed","event":955,"server":"head","reached":false}`
	small    = `{"ts":95.0,"msg":"heads changed","event":951,"service":"llm","model":"small","heads":9}`
)

const (
	ended            = `{"ts":20.0,"msg":"backend server ended","event":957,"server":"s1","fingerprints":"d0,d1"}`
	quarantined      = `{"ts":21.0,"msg":"request quarantined","event":910,"fingerprint":"d1","source":"peer","crashes":"s1 age=2s; s2 age=1s"}`
	othersQuarantine = `{"ts":22.0,"msg":"request quarantined","event":910,"fingerprint":"d2","source":"own","crashes":"s3 age=1s"}`
)

// TestCauses checks the cause and the number of related lines of requests with
// different outcomes.
func TestCauses(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		// cause is a part of the expected sentence, related the number of lines.
		cause   string
		related int
	}{
		{
			"stalled stream, member lost",
			[]string{endedLine("broken", "no room", "head inFlight=3 took=2s cause=backend server stands still"), planned, released, other},
			"group g-7 was released: member lost", 1,
		},
		{
			"stalled stream, cause not logged",
			[]string{endedLine("broken", "no room", "head inFlight=3 took=2s cause=backend server stands still"), other},
			"no group of the tried heads was released", 0,
		},
		{
			"stalled stream, head lost",
			[]string{endedLine("broken", "no room", "head inFlight=3 took=2s cause=backend server stands still"), planned, probed},
			"head head stalled; its registration was missing", 1,
		},
		{"refused at peak load", []string{endedLine("refused", "no room", ""), old, heads, later, small}, `no room; 2 heads of model "large"`, 1},
		{
			"booking with unknown outcome",
			[]string{endedLine("failed", "EOF", "head inFlight=1 took=4ms cause=may have run: EOF")},
			"may have run: EOF", 0,
		},
		{
			"quarantined",
			[]string{strings.Replace(endedLine("refused", "request ends the backend servers that run it", ""), `"model"`, `"fingerprint":"d1","model"`, 1), ended, quarantined, othersQuarantine},
			`from source "peer": s1 age=2s; s2 age=1s`, 2,
		},
		{
			"part of the prompt quarantined",
			[]string{
				strings.Replace(endedLine("refused", "a part of the prompt ends the backend servers that run it: b2", ""), `"model"`, `"fingerprint":"d7","parts":"a1,b2","model"`, 1),
				strings.Replace(ended, `"fingerprints"`, `"parts":"a1,b2","fingerprints"`, 1),
				strings.Replace(quarantined, `"source"`, `"part":"b2","source"`, 1), strings.Replace(othersQuarantine, `"source"`, `"part":"a1","source"`, 1),
			},
			`part b2 in their prompts, as this node knew from source "peer": s1 age=2s; s2 age=1s`, 2,
		},
		{
			"response of another request",
			[]string{endedLine("failed", "", `head inFlight=1 took=4ms connection=9 requests=3 cause=backend server a: may have run: response to request x carries ID y: it belongs to another request; b took=1ms`)},
			"was not believed, so that this one may have run: head inFlight=1 took=4ms connection=9 requests=3", 0,
		},
		{
			"connection passed over",
			[]string{endedLine("refused", "rejected by backend server", "head took=4ms connection=9 requests=0 passedOver=1 status=503"), heads},
			"because of what had come on them: head took=4ms connection=9", 1,
		},
		{"denied", []string{endedLine("denied", "no such route", "")}, "no such route", 0},
		{"answered", []string{endedLine("answered", "", "head inFlight=9 took=2s"), heads}, "answered by the first head", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			logs := explain.New("ID")
			if err := logs.Read("node.log", strings.NewReader(strings.Join(tt.lines, "\n"))); err != nil {
				t.Fatal(err)
			}
			findings := logs.Findings()
			if len(findings) != 1 {
				t.Fatalf("%d findings, want 1", len(findings))
			}
			if f := findings[0]; !strings.Contains(f.Cause, tt.cause) || len(f.Related) != tt.related {
				t.Errorf("cause %q, want %q; %d related lines, want %d: %+v", f.Cause, tt.cause, len(f.Related), tt.related, f.Related)
			}
		})
	}
}

// TestReadMixedLog reads a log whose lines have a prefix before the JSON and which
// holds lines of other programs. The last word of the prefix is the origin.
func TestReadMixedLog(t *testing.T) {
	logs := explain.New("ID")
	text := "panic: something\n  1.5 edge-a-1 " + endedLine("refused", "no room", "") + "\nfoo {bar\n" + strings.ReplaceAll(requestLine, "ID", "other")
	if err := logs.Read("all", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	findings := logs.Findings()
	if len(findings) != 1 || findings[0].RequestEnd.Origin != "edge-a-1" {
		t.Errorf("findings %+v, want one with origin edge-a-1", findings)
	}
}
