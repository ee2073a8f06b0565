package callertest

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"almondbay.example/core/fleet"
	"almondbay.example/serving/caller"
	"almondbay.example/serving/engine/enginewire"
)

// answerInTurn makes the leaders of all groups answer generation requests, each
// attempt with the next of the answers. An answer that starts with a brace is
// sent as JSON, others as a stream.
func answerInTurn(f *fixture, answers []string) *atomic.Int32 {
	sent := &atomic.Int32{}
	for _, g := range f.groups {
		inner := g.members[0].Config.Handler
		g.members[0].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.Method != http.MethodPost {
				inner.ServeHTTP(w, q)
				return
			}
			enginewire.SetIdentity(w.Header(), fleet.Identity{Member: g.id + "-0", Boot: "1", Group: g.id, Epoch: 1, Model: "demo", Version: "1"})
			w.Header().Set(enginewire.HeaderAttempt, q.Header.Get(enginewire.HeaderAttempt))
			text := answers[sent.Add(1)-1]
			w.Header().Set("Content-Type", "text/event-stream")
			if text[0] == '{' {
				w.Header().Set("Content-Type", "application/json")
			}
			_, _ = io.WriteString(w, text)
		})
	}
	return sent
}

// streamEvent returns an event with the tokens from first up to next.
func streamEvent(first, next int) string {
	text := ""
	for i := first; i < next; i++ {
		text += fmt.Sprintf("t%d ", i)
	}
	return fmt.Sprintf("id: %d+%d\n", first, next-first) + plainEvent(text)
}

// plainEvent returns an event that does not state its place in the answer.
func plainEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

// TestResumedStreamJoinsOtherAnswer guards against a stream that goes on, and ends
// as complete, with an answer that does not continue it.
func TestResumedStreamJoinsOtherAnswer(t *testing.T) {
	const done = "data: [DONE]\n\n"
	begun := streamEvent(0, 1) + streamEvent(1, 2)
	rest := streamEvent(2, 3) + streamEvent(3, 4) + done
	tests := map[string]string{
		"whole answer as JSON":              `{"choices":[{"message":{"content":"t0 t1 t2 t3 "}}]}`,
		"event with old and new tokens":     streamEvent(1, 4) + done,
		"whole answer in one event":         streamEvent(0, 4) + done,
		"whole answer without stated place": plainEvent("t0 ") + plainEvent("t1 ") + plainEvent("t2 ") + plainEvent("t3 ") + done,
	}
	for name, second := range tests {
		for _, groups := range []int{2, 3} {
			t.Run(fmt.Sprint(name, ", ", groups, " groups"), func(t *testing.T) {
				f := newFixture(t, fixtureConfig{nodes: 1, groups: groups})
				sent := answerInTurn(f, []string{begun, second, rest})
				body, _ := chat("p", true, 4)
				got := f.send(0, chatPath, body, nil)
				if sent.Load() != int32(groups) {
					t.Errorf("%d attempts, want %d", sent.Load(), groups)
				}
				if groups == 3 && (got.text != "t0 t1 t2 t3 " || !got.done || got.code != "") {
					t.Errorf("got %+v, want the answer completed by the third group", got)
				}
				if groups == 2 && (got.text != "t0 t1 " || got.done || got.code != caller.CodeBrokenAnswer || got.outcome != "ran") {
					t.Errorf("got %+v, want two tokens, then an error event", got)
				}
			})
		}
	}
}

// TestTokensAreLostBehindEventWithoutPlace guards against a stream that ends as
// complete although a token was dropped as repeated: behind an event that does not
// state its place, that of the tokens passed on is a guess.
func TestTokensAreLostBehindEventWithoutPlace(t *testing.T) {
	f := newFixture(t, fixtureConfig{nodes: 1, groups: 2})
	answerInTurn(f, []string{plainEvent("hello ") + streamEvent(0, 1) + streamEvent(1, 2) + "data: [DONE]\n\n"})
	body, _ := chat("p", true, 2)
	got := f.send(0, chatPath, body, nil)
	if got.text != "hello " || got.done || got.code != caller.CodeBrokenAnswer {
		t.Errorf("got %+v, want the first event, then an error event", got)
	}
}
