package caller

import (
	"net/http"
	"net/url"
	"testing"

	"almondbay.example/core/attempt"
	"almondbay.example/core/document"
)

// FuzzParseGeneration checks that parsing never panics and that accepted
// requests have a model and plausible sizes.
func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(`{"model":"demo","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"demo","max_completion_tokens":-1,"prompt":["a"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		g, err := parseGeneration(body)
		if err == nil && (g.model == "" || g.maxTokens < 0 || g.promptBytes > len(body)) {
			t.Fatalf("accepted invalid generation %+v", g)
		}
	})
}

// FuzzParseOptions checks that the API key and hop-by-hop headers are never
// forwarded and that accepted options are within their limits.
func FuzzParseOptions(f *testing.F) {
	f.Add("k", "true", "30s", "high", "close, X-A")
	f.Add("\x00", "2", "-1ns", "", "")
	f.Fuzz(func(t *testing.T, key, idempotent, timeout, priority, connection string) {
		h := http.Header{
			HeaderIdempotencyKey: {key}, HeaderIdempotent: {idempotent}, HeaderTimeout: {timeout},
			HeaderPriority: {priority}, "Connection": {connection}, "Authorization": {"Bearer x"},
		}
		out := forwardedHeaders(h)
		if out.Get("Authorization") != "" || out.Get("Connection") != "" {
			t.Fatalf("Authorization or Connection header forwarded: %v", out)
		}
		o, err := parseOptions(h)
		if err != nil {
			return
		}
		if o.key == "" || len(o.key) > attempt.MaxKeyLength || o.timeout <= 0 || o.timeout > maxTimeout || o.priority == "" {
			t.Fatalf("accepted invalid options %+v", o)
		}
	})
}

// TestIsIdempotentPrefersDocumentToHeaderToMethod checks the order in which a
// call is classified: the calls listed in the document, the header, the method.
func TestIsIdempotentPrefersDocumentToHeaderToMethod(t *testing.T) {
	s := document.Service{NonIdempotent: []document.Call{{Method: "*", Path: "/book"}, {Method: "PUT", Path: "/seat"}}}
	tests := []struct {
		method, path string
		declared     idempotence
		want         bool
	}{
		{"GET", "/book/7", idempotenceUnspecified, false},
		{"GET", "/book/7", idempotenceYes, false},
		{"PUT", "/seat/1", idempotenceYes, false},
		{"GET", "/seat/1", idempotenceUnspecified, true},
		{"GET", "/seat/1", idempotenceNo, false},
		{"POST", "/quote", idempotenceUnspecified, false},
		{"POST", "/quote", idempotenceYes, true},
		{"DELETE", "/quote", idempotenceUnspecified, true},
	}
	for _, tt := range tests {
		if got := isIdempotent(s, tt.method, tt.path, tt.declared); got != tt.want {
			t.Errorf("%s %s, declared %d: idempotent %v, want %v", tt.method, tt.path, tt.declared, got, tt.want)
		}
	}
}

// TestServicePathIsNormalized guards against alternative spellings of a path
// that the document doesn't match but that the service resolves to a
// non-idempotent call.
func TestServicePathIsNormalized(t *testing.T) {
	for raw, want := range map[string]string{
		"": "/", "/": "/", "/book": "/book", "//book": "/book", "/./book/": "/book/", "/x/../book": "/book", "/%62ook": "/book", "/x%2f..%2fbook": "/book",
	} {
		u, err := url.Parse("http://node/services/booking" + raw)
		if err != nil {
			t.Fatal(err)
		}
		if got := servicePath(u); got != want {
			t.Errorf("path of %q is %q, want %q", raw, got, want)
		}
	}
}
